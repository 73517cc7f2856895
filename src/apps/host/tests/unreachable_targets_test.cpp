#include "apps/host/tests/fleet_fixture.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>

using namespace snipeshore;
using namespace apps::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t cut_host = 0;
constexpr std::size_t other_host = 1;

/// From this long after the cut, the fleet has to serve as before.
constexpr std::chrono::milliseconds detection_limit = 3000ms;

} // namespace

// Guards against refusals by a host that has lost its links to all targets, while other hosts, the
// store and the callers still reach it (RECOVER): it refused nearly all requests, and look-ups went
// on naming it.
TEST_CASE("callers of a host that reaches no target are served")
{
    fleet_fixture fleet(3, 6);
    REQUIRE(fleet.count_served(cut_host, 20) == 20);
    bool hangs = false;
    SUBCASE("its connections are closed and new ones refused") {}
    SUBCASE("its connections are silent and new ones hang")
    {
        hangs = true;
    }
    for (const auto& link : fleet.links(cut_host)) {
        if (hangs) {
            link->hang();
        } else {
            link->refuse();
        }
    }
    const base::time_point begun = base::boot_clock::now();
    while (base::boot_clock::now() < begun + detection_limit) {
        fleet.count_served(cut_host, 1);
        fleet.run_for(50ms);
    }

    constexpr int tries = 60;
    const int others_served = fleet.count_served(other_host, tries);
    const int served = fleet.count_served(cut_host, tries);
    CHECK(others_served == tries);
    CHECK(served * 3 >= others_served * 2);
    CHECK_FALSE(fleet.names(other_host, cut_host));
    CHECK(fleet.app(cut_host).is_ready());

    for (const auto& link : fleet.links(cut_host)) {
        link->restore();
    }
    CHECK(fleet.run_until([&] { return fleet.names(other_host, cut_host); }));
    const int before = fleet.runs_through(cut_host);
    CHECK(fleet.count_served(cut_host, tries) == tries);
    CHECK(fleet.runs_through(cut_host) == before + tries);
}
