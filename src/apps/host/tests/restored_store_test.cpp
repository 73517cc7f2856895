#include "apps/host/tests/host_fixture.h"
#include "fleet/exchange_encoding.h"
#include "http/exchange.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace snipeshore;
using namespace apps::tests;
using namespace std::chrono_literals;

namespace {

const http::header_list with_key{{"x-key", "key"}, {"x-attempt-id", "id-1"}};

/// Writes rows that only use up versions.
void use_versions(memory_store& store, int count)
{
    for (int i = 0; i < count; ++i) {
        store.set("status", "any", std::to_string(i));
    }
}

} // namespace

// Guards against confirmed changes that are not in force, or are reverted, after the store came
// back from a copy some seconds old and gave out versions again.
TEST_CASE("a store that was restored to an earlier state")
{
    host_fixture host(plain_config);
    test_target target(host.loop, respond_success);
    host.add_target("t1", target.address());
    host.await_targets(1);
    const auto restore = [&] {
        host.store.restore();
        REQUIRE(host.run_until([&] { return host.app->dump()["tables"]["op"]["era"] == 2; }));
    };
    SUBCASE("does not revert the configuration, and a later one is in force")
    {
        host.store.save();
        use_versions(host.store, 40);
        host.store.set("op", "config", config_of_version("0000000a"));
        REQUIRE(host.run_until([&] { return host.app->config_version() == 10; }));
        restore();
        CHECK(host.app->config_version() == 10);
        host.store.set("op", "config", config_of_version("0000000a"));
        host.store.set("op", "config", config_of_version("0000000c"));
        CHECK(host.run_until([&] { return host.app->config_version() == 12; }));
    }
    SUBCASE("does not bring back a target that has left")
    {
        host.store.save();
        host.store.set("servers", "t1", std::nullopt);
        REQUIRE(host.run_until([&] { return host.app->known_targets() == 0; }));
        restore();
        REQUIRE(host.run_until([&] { return host.app->dump()["tables"]["servers"]["era"] == 2; }));
        CHECK(host.app->known_targets() == 0);
        const int before = target.requests;
        CHECK(host.send("/safe/x", with_key).status == 503);
        CHECK(target.requests == before);
        SUBCASE("until the target itself writes its entry again")
        {
            host.add_target("t1", target.address(), 2);
            CHECK(host.run_until([&] { return host.app->known_targets() == 1; }));
        }
    }
    SUBCASE("does not end a drain that is about to be written again")
    {
        host.store.save();
        host.store.set("op", "evacuate/z1", "{}");
        REQUIRE(host.run_until([&] { return host.send("/safe/x", with_key).status == 503; }));
        restore();
        const int before = target.requests;
        CHECK(host.send("/safe/x", with_key).status == 503);
        host.store.set("op", "evacuate/z1", "{}");
        use_versions(host.store, 40);
        CHECK(host.send("/safe/x", with_key).status == 503);
        CHECK(target.requests == before);
        host.store.set("op", "evacuate/z1", std::nullopt);
        CHECK(host.run_until([&] { return host.send("/safe/x", with_key).status == 200; }));
    }
    SUBCASE("gets the host's registration again")
    {
        const auto is_registered = [&] {
            return host.store.get("hosts", "h1").has_value();
        };
        REQUIRE(host.run_until(is_registered));
        host.store.set("hosts", "h1", std::nullopt);
        host.store.save();
        restore();
        CHECK(host.run_until(is_registered));
    }
}

// Guards against hosts that forget a serving host, and with it the number of hosts that share the
// accounts' limits, because the restored store has lost the host's registration.
TEST_CASE("a host whose registration was lost is known as long as it sends messages")
{
    host_fixture host(plain_config);
    host.store.save();
    fleet::member other{base::host_id("h2"),  base::failure_domain_id("z1"),
                        "127.0.0.1:1",        "127.0.0.1:2",
                        base::incarnation(7), fleet::member_state::ready};
    host.store.set("hosts", "h2", fleet::encode(other));
    const auto knows_other = [&] {
        return host.get(host.settings.lookup_address, "/v1/resolve?zone=z1")
                   .body.find("127.0.0.1:1") != std::string::npos;
    };
    const auto send_message = [&] {
        fleet::exchange_message message;
        message.from = other;
        return host.post(host.settings.control_address, "/fleet/exchange", fleet::encode(message));
    };
    REQUIRE(host.run_until([&] { return host.app->is_ready(); }));
    REQUIRE(send_message().status == 200);
    REQUIRE(knows_other());
    host.store.restore();
    REQUIRE(host.run_until([&] { return host.app->dump()["tables"]["hosts"]["era"] == 2; }));
    CHECK(knows_other());
    SUBCASE("and forgotten once it has announced its stop")
    {
        other.state = fleet::member_state::leaving;
        REQUIRE(send_message().status == 200);
        CHECK(host.run_until([&] { return host.app->dump()["hosts"].empty(); }));
    }
}
