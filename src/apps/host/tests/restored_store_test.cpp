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

std::string config_of_version(const std::string& version)
{
    std::string config = plain_config;
    return config.replace(config.find("00000005"), 8, version);
}

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
}
