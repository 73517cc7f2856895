#include "apps/host/tests/host_fixture.h"

#include "http/exchange.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

using namespace snipeshore;
using namespace apps::tests;
using namespace std::chrono_literals;

namespace {

const http::header_list with_key{{"x-key", "key"}, {"x-attempt-id", "id-1"}};

/// Responds as a healthy target that names a limit; empty: names none.
test_target::handler respond_with_limit(const std::string& limit)
{
    return [limit](const std::shared_ptr<http::exchange>& request) {
        http::response_head head;
        head.headers.push_back({"x-response-seal", "sealed"});
        const auto id = http::find_header(request->head().headers, "x-attempt-id");
        head.headers.push_back({"x-attempt-id", std::string(id.value_or(""))});
        if (!limit.empty()) {
            head.headers.push_back({"server-limit", limit});
        }
        request->respond(head, "whole answer");
    };
}

} // namespace

// Guards against overload of a target in need: it named the requests a second that it takes, and
// got many times as many.
TEST_CASE("a target that names a limit gets no more requests than it allows")
{
    host_fixture host(plain_config);
    test_target limited(host.loop, respond_with_limit("5.5"));
    host.add_target("t1", limited.address());
    // In any 4 s: one and a half times what the limit allows, and 5 more.
    constexpr int allowed_in_window = 38;
    SUBCASE("requests that do not fit go to other targets")
    {
        test_target other(host.loop, respond_with_limit(""));
        host.add_target("t2", other.address());
        host.await_targets(2);
        const base::time_point window_end = base::boot_clock::now() + 4s;
        for (int i = 0; i < 300 && base::boot_clock::now() < window_end; ++i) {
            CHECK(host.send("/safe/x", with_key).status == 200);
        }
        CHECK(limited.requests > 0);
        CHECK(limited.requests <= allowed_in_window);
    }
    SUBCASE("without another target they are refused at once, with the time until the next fits")
    {
        host.await_targets(1);
        const base::time_point window_end = base::boot_clock::now() + 4s;
        std::vector<reply> refused;
        for (int i = 0; i < 300 && base::boot_clock::now() < window_end; ++i) {
            const reply got = host.send("/safe/x", with_key);
            if (got.status != 200) {
                refused.push_back(got);
            }
        }
        CHECK(limited.requests <= allowed_in_window);
        REQUIRE_FALSE(refused.empty());
        CHECK(refused.front().status == 503);
        CHECK(refused.front().body.find("\"not_run\":true") != std::string::npos);
        const auto retry_after = http::find_header(refused.front().headers, "retry-after");
        REQUIRE(retry_after.has_value());
        CHECK(std::stod(std::string(*retry_after)) <= 0.3);
    }
    // Guards against the limit of another target that answers at the address meanwhile.
    SUBCASE("a limit in the answer of another target at its address is not its own")
    {
        int misdirected = 0;
        test_target::handler respond = respond_with_limit("");
        test_target moved(host.loop, [&](const std::shared_ptr<http::exchange>& request) {
            if (misdirected++ > 0) {
                respond(request);
                return;
            }
            http::response_head head;
            head.status = 421;
            const auto id = http::find_header(request->head().headers, "x-attempt-id");
            head.headers = {{"x-attempt-id", std::string(id.value_or(""))}, {"server-limit", "0"}};
            request->respond(head, "");
        });
        host.add_target("t2", moved.address());
        host.await_targets(2);
        REQUIRE(host.run_until([&] {
            host.send("/safe/x", with_key);
            return misdirected > 0;
        }));
        CHECK(host.app->dump()["services"]["svc"]["targets"]["t2"]["limit_per_s"].is_null());
    }
}
