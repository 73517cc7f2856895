#include "apps/host/tests/host_fixture.h"

#include "http/exchange.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

using namespace snipeshore;
using namespace apps::tests;

namespace {

const http::header_list with_key{{"x-key", "key"}, {"x-attempt-id", "id-1"}};

/// A target that ends when it gets a request whose path contains "poison": its connections break
/// and its address accepts no others.
class mortal_target {
public:
    explicit mortal_target(http::loop& loop)
        : m_server(std::make_unique<http::server>(
              loop, [this, &loop](const std::shared_ptr<http::exchange>& request) {
                  if (request->head().path.find("poison") == std::string::npos) {
                      respond_success(request);
                      return;
                  }
                  m_held = request;
                  ++runs;
                  loop.schedule(base::boot_clock::now(), [this] { m_server.reset(); });
              }))
    {
        http::server_settings settings;
        settings.address = "127.0.0.1:0";
        REQUIRE(base::is_ok(m_server->listen(settings)));
        address = m_server->bound_address();
    }

    std::string address;
    int runs = 0;

private:
    std::shared_ptr<http::exchange> m_held;
    std::unique_ptr<http::server> m_server;
};

} // namespace

// Guards against a request that ends one target after the other: its targets were not chosen again
// by chance, so nobody noticed that they had ended.
TEST_CASE("a request that crashed three targets one after the other is sent to no further one")
{
    constexpr int targets = 16;
    constexpr int repetitions = 10;
    host_fixture host(plain_config);
    std::vector<std::unique_ptr<mortal_target>> all;
    for (int i = 0; i < targets; ++i) {
        all.push_back(std::make_unique<mortal_target>(host.loop));
        host.add_target("t" + std::to_string(i), all.back()->address);
    }
    host.await_targets(targets);
    std::vector<reply> replies;
    for (int i = 0; i < repetitions; ++i) {
        replies.push_back(host.send("/safe/poison", with_key));
    }
    int runs = 0;
    for (const auto& target : all) {
        runs += target->runs;
    }
    CHECK(runs == 3);
    SUBCASE("its callers are told that it was not run, and when to come back")
    {
        CHECK(replies.back().status == 503);
        CHECK(replies.back().body.find("\"not_run\":true") != std::string::npos);
        const auto retry_after = http::find_header(replies.back().headers, "retry-after");
        REQUIRE(retry_after.has_value());
        CHECK(std::stod(std::string(*retry_after)) > 1);
    }
    SUBCASE("other requests are served by the targets that are left")
    {
        for (int i = 0; i < repetitions; ++i) {
            CHECK(host.send("/safe/harmless", with_key).status == 200);
        }
    }
}
