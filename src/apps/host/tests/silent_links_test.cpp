#include "apps/host/tests/fleet_fixture.h"
#include "http/tests/silent_connections.h"

#include <doctest/doctest.h>

#include <cstddef>

using namespace snipeshore;
using namespace apps::tests;

namespace {

constexpr std::size_t hosts = 6;
constexpr std::size_t domains = 2;
constexpr std::size_t targets = 4;

/// Silences the open connections of the first hosts to and from the others.
void silence_links(const fleet_fixture& fleet, std::size_t count)
{
    int silenced = 0;
    for (std::size_t i = 0; i < count; ++i) {
        silenced += http::tests::silence_connections(fleet.settings(i).control_address);
    }
    REQUIRE(silenced > 0);
}

template <typename Condition>
bool holds_on_all(fleet_fixture& fleet, Condition condition)
{
    return fleet.run_until([&] {
        for (std::size_t i = 0; i < hosts; ++i) {
            if (!condition(fleet.app(i))) {
                return false;
            }
        }
        return true;
    });
}

bool is_in_force(fleet_fixture& fleet, std::uint64_t version)
{
    return holds_on_all(fleet,
                        [&](const apps::host_app& app) { return app.config_version() == version; });
}

} // namespace

// Guards against hosts that wait for good on connections to each other which have fallen silent:
// they would answer by an old configuration and send requests to targets that have left.
TEST_CASE("hosts follow changes although their connections to each other have fallen silent")
{
    fleet_fixture fleet(hosts, targets, domains);
    fleet.store.set("op", "config", config_of_version("0000000a"));
    REQUIRE(is_in_force(fleet, 10));
    std::size_t silent_hosts = hosts;
    SUBCASE("those of all hosts") {}
    SUBCASE("those of some hosts")
    {
        silent_hosts = hosts / 2;
    }
    silence_links(fleet, silent_hosts);
    fleet.store.set("op", "config", config_of_version("0000000b"));
    fleet.store.set("servers", "t1", std::nullopt);
    CHECK(is_in_force(fleet, 11));
    CHECK(holds_on_all(
        fleet, [](const apps::host_app& app) { return app.known_targets() == targets - 1; }));

    silence_links(fleet, silent_hosts);
    fleet.store.set("op", "config", config_of_version("0000000c"));
    CHECK(is_in_force(fleet, 12));
    for (std::size_t i = 0; i < hosts; ++i) {
        CHECK(fleet.count_served(i, 5) == 5);
    }
}
