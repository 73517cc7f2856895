#include "apps/host/tests/host_fixture.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace snipeshore;
using namespace apps::tests;

namespace {

std::string config_of_version(const std::string& version)
{
    std::string config = plain_config;
    return config.replace(config.find("00000005"), 8, version);
}

} // namespace

// Guards against a configuration that is not in force for seconds after the store was silent: the
// call for changes that was lost in the silence was awaited until its own time-out.
TEST_CASE("a change confirmed after a silence of the store does not wait for calls lost in it")
{
    host_fixture host(plain_config);
    test_target target(host.loop, respond_success);
    host.add_target("t1", target.address());
    host.await_targets(1);
    host.store.fall_silent();
    const auto notices_silence = [&] {
        return host.app->dump()["tables"]["servers"]["store_reachable"] == false;
    };
    REQUIRE(host.run_until(notices_silence));
    host.store.end_silence();
    host.store.set("op", "config", config_of_version("0000000a"));
    REQUIRE(host.run_until(
        [&] { return host.app->config_version() == 10 || host.store.given_up["op"] > 0; }));
    CHECK(host.store.given_up["op"] == 0);
    CHECK(host.app->config_version() == 10);
}
