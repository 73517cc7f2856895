#include "apps/host/tests/host_fixture.h"

#include "http/exchange.h"
#include "http/internal/loop_impl.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <string>
#include <vector>

using namespace snipeshore;
using namespace apps::tests;
using namespace std::chrono_literals;

namespace {

const http::header_list with_key{{"x-key", "key"}, {"x-attempt-id", "id-1"}};

} // namespace

// Guards against requests that are cut without an answer at the end of a planned stop.
TEST_CASE("requests that come late in the grace time of a planned stop")
{
    host_fixture host(plain_config, 500ms, 1000ms);
    std::vector<std::shared_ptr<http::exchange>> held;
    std::vector<std::string> times_left;
    test_target target(host.loop, [&](const std::shared_ptr<http::exchange>& request) {
        held.push_back(request);
        times_left.emplace_back(
            http::find_header(request->head().headers, "x-deadline-ms").value_or(""));
    });
    host.add_target("t1", target.address());
    host.await_targets(1);
    const auto take = [&](const std::string& path, std::optional<reply>& into) {
        const std::size_t count = held.size();
        host.begin(path, with_key, into);
        REQUIRE(host.run_until([&] { return held.size() > count; }));
    };
    SUBCASE("are refused at once if their targets are not expected to end in time")
    {
        // The host learns a service time of 0.9 s.
        std::optional<reply> safe;
        std::optional<reply> once;
        take("/safe/x", safe);
        take("/once/x", once);
        host.loop.schedule(base::boot_clock::now() + 900ms, [&] {
            respond_success(held[0]);
            respond_success(held[1]);
        });
        REQUIRE(host.run_until([&] { return safe.has_value() && once.has_value(); }));
        REQUIRE(safe->status == 200);
        REQUIRE(once->status == 200);
        host.app->stop();
        const base::time_point late = base::boot_clock::now() + 300ms;
        REQUIRE(host.run_until([&] { return base::boot_clock::now() > late; }));
        for (const char* path : {"/safe/y", "/once/y"}) {
            const reply got = host.send(path, with_key, path[1] == 's' ? "GET" : "POST");
            CHECK(got.status == 503);
            CHECK(got.body.find("\"not_run\":true") != std::string::npos);
        }
        CHECK(held.size() == 2);
    }
    SUBCASE("get targets that hear of the end of the process")
    {
        host.app->stop();
        std::optional<reply> got;
        take("/safe/x", got);
        CHECK(std::stoi(times_left.back()) <= 1000);
        respond_success(held.back());
        REQUIRE(host.run_until([&] { return got.has_value(); }));
        CHECK(got->status == 200);
    }
    SUBCASE("are answered on the connection on which they were pipelined")
    {
        const std::string request = "GET /safe/x HTTP/1.1\r\nhost: a.example\r\nx-key: key\r\n"
                                    "x-attempt-id: id-1\r\n\r\n";
        const int caller = http::tests::connect_to(host.settings.entry_address);
        http::tests::write_all(caller, request + request);
        REQUIRE(host.run_until([&] { return held.size() == 2; }));
        host.app->stop();
        http::tests::write_all(caller, request);
        REQUIRE(host.run_until([&] { return held.size() == 3; }));
        REQUIRE(host.run_until([&] { return host.app->dump()["closing"] == true; }));
        for (const auto& one : held) {
            respond_success(one);
        }
        const std::string got =
            http::tests::run_in_thread(host.loop, [&] { return http::tests::read_all(caller); });
        std::size_t answers = 0;
        for (std::size_t at = 0; (at = got.find("HTTP/1.1 200", at)) != std::string::npos; ++at) {
            ++answers;
        }
        CHECK(answers == 3);
        close(caller);
    }
    SUBCASE("get an answer that promises nothing if they still run at its end")
    {
        std::optional<reply> safe;
        std::optional<reply> once;
        take("/safe/x", safe);
        take("/once/x", once);
        host.app->stop();
        REQUIRE(host.run_until([&] { return host.loop.internals().stopped.load(); }));
        REQUIRE(safe.has_value());
        REQUIRE(once.has_value());
        for (const reply& got : {*safe, *once}) {
            CHECK(got.status == 504);
            CHECK(got.body.find("\"not_run\":false") != std::string::npos);
        }
        CHECK(held.size() == 2);
    }
    SUBCASE("are not run if their heads or bodies were complete only after the host had closed")
    {
        const std::string head = "POST /once/x HTTP/1.1\r\nhost: a.example\r\nx-key: key\r\n"
                                 "x-attempt-id: id-1\r\ncontent-length: 4\r\n";
        const int in_head = http::tests::connect_to(host.settings.entry_address);
        const int in_body = http::tests::connect_to(host.settings.entry_address);
        http::tests::write_all(in_head, head);
        http::tests::write_all(in_body, head + "\r\nbo");
        host.app->stop();
        REQUIRE(host.run_until([&] { return host.app->dump()["closing"] == true; }));
        http::tests::write_all(in_head, "\r\nbody");
        http::tests::write_all(in_body, "dy");
        REQUIRE(host.run_until(
            [&] { return http::tests::has_bytes(in_head) && http::tests::has_bytes(in_body); }));
        for (const int connection : {in_head, in_body}) {
            const std::string got = http::tests::read_until(connection, "}\n");
            CHECK(got.find("HTTP/1.1 503") == 0);
            CHECK(got.find("\"not_run\":true") != std::string::npos);
            close(connection);
        }
        CHECK(held.empty());
    }
}
