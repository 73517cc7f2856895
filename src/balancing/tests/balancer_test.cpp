#include "balancing/balancer.h"

#include <doctest/doctest.h>

#include <cmath>
#include <string>
#include <vector>

using namespace snipeshore;
using namespace snipeshore::balancing;
using namespace std::chrono_literals;

namespace {

/// One entry host with a few targets, all with idle connections.
struct scenario {
    target_set set;
    balancer_state state;
    base::time_point now{1h};
    std::uint64_t requests = 0;

    explicit scenario(std::size_t targets, std::uint32_t connections = 400)
    {
        for (std::size_t index = 0; index < targets; ++index) {
            set.targets.push_back({base::target_id("t" + std::to_string(index)), 3, connections});
        }
        set.self = base::host_id("host");
        set.entry_hosts = {set.self};
        update();
    }

    void update()
    {
        set_targets(state, set, now);
        for (std::uint32_t index = 0; index < state.targets.size(); ++index) {
            set_idle_connections(state, index, 1);
        }
    }

    /// Index of the started target, or -1.
    int start(bool allow_trial = true)
    {
        const auto chosen = choose(state, {++requests * 7919, allow_trial, {}}, now);
        if (!base::is_ok(chosen)) {
            CHECK(base::error_of(chosen).kind == base::error_kind::no_target);
            return -1;
        }
        on_start(state, base::value_of(chosen), now);
        return static_cast<int>(base::value_of(chosen));
    }

    void end(std::uint32_t target, outcome result = outcome::success,
             std::chrono::nanoseconds latency = 10ms)
    {
        on_end(state, target, result, latency, now);
    }

    void observe(std::uint32_t target, outcome result, std::chrono::nanoseconds latency = 10ms)
    {
        on_start(state, target, now);
        end(target, result, latency);
    }

    /// Parts of `count` requests, one at a time, that each target gets.
    std::vector<double> spread(int count)
    {
        std::vector<double> part(state.targets.size(), 0.0);
        for (int index = 0; index < count; ++index) {
            const int target = start(false);
            part[static_cast<std::size_t>(target)] += 1.0 / count;
            end(static_cast<std::uint32_t>(target));
        }
        return part;
    }
};

} // namespace

// Guards against a target that says it is idle and gets all requests.
TEST_CASE("own observations outweigh reported load")
{
    scenario host(2);
    host.observe(0, outcome::success, 50ms);
    host.observe(1, outcome::success, 10ms);
    on_load_report(host.state, 0, 0.0, host.now);
    on_load_report(host.state, 1, 9.0, host.now);
    CHECK(host.start() == 1);
    SUBCASE("requests in flight count before reports, too")
    {
        host.observe(0, outcome::success, 10ms);
        for (int index = 0; index < 20; ++index) {
            host.observe(0, outcome::success, 10ms);
        }
        on_load_report(host.state, 0, 9.0, host.now);
        on_load_report(host.state, 1, 0.0, host.now);
        CHECK(host.start() == 0);
    }
    SUBCASE("a report decides between equals")
    {
        scenario equal(2);
        on_load_report(equal.state, 0, 9.0, equal.now);
        on_load_report(equal.state, 1, 1.0, equal.now);
        CHECK(equal.start() == 1);
        CHECK(equal.state.recent[0].reason == choice_reason::reported_load);
    }
}

// Guards against more connections than a target allows, over all hosts together.
TEST_CASE("connections limit")
{
    scenario host(2, 3);
    for (int index = 0; index < 6; ++index) {
        CHECK(host.start() >= 0);
    }
    CHECK(host.state.targets[0].in_flight == 3);
    CHECK(host.start() == -1);
    CHECK(host.state.recent[6].at_limit == 2);
    host.end(1);
    CHECK(host.start() == 1);
    SUBCASE("hosts that use the same target share its limit")
    {
        for (int index = 0; index < 3; ++index) {
            host.set.entry_hosts.emplace_back("other" + std::to_string(index));
        }
        host.set.targets[0].connections = 400;
        host.update();
        CHECK(host.state.targets[0].connection_limit == 100);
    }
}

// Guards against a new connection while an equal target has an idle one.
TEST_CASE("a target with an idle connection is preferred")
{
    scenario host(2);
    set_idle_connections(host.state, 0, 0);
    for (int index = 0; index < 10; ++index) {
        CHECK(host.start() == 1);
        host.end(1);
    }
    SUBCASE("but not when it is much slower")
    {
        host.observe(0, outcome::success, 10ms);
        host.observe(1, outcome::success, 100ms);
        CHECK(host.start() == 0);
    }
}

// Guards against a cold target that gets its full part at once, and one that never gets it.
TEST_CASE("slow start over the warm-up time")
{
    scenario host(3);
    host.set.targets.push_back({base::target_id("new"), 3, 400});
    host.update();
    const auto in_flight_parts = [&] {
        std::vector<int> started;
        for (int index = 0; index < 120; ++index) {
            started.push_back(host.start());
        }
        const double part = host.state.targets[3].in_flight / 120.0;
        for (const int target : started) {
            host.end(static_cast<std::uint32_t>(target));
        }
        return part;
    };
    CHECK(in_flight_parts() < 0.06);
    host.now += 15s;
    const double halfway = in_flight_parts();
    CHECK(halfway > 0.1);
    CHECK(halfway < 0.2);
    host.now += 15s;
    CHECK(in_flight_parts() == doctest::Approx(0.25).epsilon(0.1));
    SUBCASE("also after a drain is taken back")
    {
        host.set.targets[3].leaving = true;
        host.update();
        CHECK(in_flight_parts() == 0);
        host.set.targets[3].leaving = false;
        host.update();
        CHECK(in_flight_parts() < 0.06);
    }
}

// Guards against requests that keep hitting a target that sheds load.
TEST_CASE("a target that sheds load gets less and recovers")
{
    scenario host(2);
    for (int index = 0; index < 3; ++index) {
        host.observe(0, outcome::load_shed);
    }
    CHECK(host.spread(50)[0] == 0);
    CHECK(host.state.targets[0].phase == ejection_phase::active);
    host.now += 20s;
    CHECK(host.spread(50)[0] > 0.2);
}

// Guards against ejecting most targets, against ejections that never end, and against a flood of
// requests to a target that has not proved itself.
TEST_CASE("outlier ejection")
{
    scenario host(6);
    const auto fail = [&](std::uint32_t target) {
        for (int index = 0; index < 5; ++index) {
            host.observe(target, outcome::failure);
        }
    };
    SUBCASE("never more than a third")
    {
        for (std::uint32_t target = 0; target < 6; ++target) {
            fail(target);
        }
        int ejected = 0;
        for (const auto& target : host.state.targets) {
            ejected += target.phase != ejection_phase::active ? 1 : 0;
        }
        CHECK(ejected == 2);
        SUBCASE("also after the set has shrunk")
        {
            host.set.targets.erase(host.set.targets.begin() + 3, host.set.targets.end());
            host.update();
            CHECK((host.state.targets[0].phase == ejection_phase::active ||
                   host.state.targets[1].phase == ejection_phase::active));
        }
    }
    SUBCASE("re-entry by one trial request, then slow start")
    {
        fail(0);
        CHECK(host.spread(50)[0] == 0);
        host.now += 5s;
        CHECK(host.start() == 0);
        CHECK(host.start() != 0);
        host.end(0);
        CHECK(host.state.targets[0].phase == ejection_phase::active);
        CHECK(host.state.targets[0].warm_since == host.now);
    }
    SUBCASE("a failed trial ejects for twice as long")
    {
        fail(0);
        host.now += 5s;
        CHECK(host.start() == 0);
        host.end(0, outcome::failure);
        CHECK(host.state.targets[0].ejected_until == host.now + 10s);
    }
    SUBCASE("a cancelled trial says nothing")
    {
        fail(0);
        host.now += 5s;
        CHECK(host.start() == 0);
        host.end(0, outcome::cancelled);
        CHECK(host.start() == 0);
    }
    SUBCASE("a request that must run once is no trial")
    {
        fail(0);
        host.now += 5s;
        CHECK(host.start(false) != 0);
    }
}

// Guards against a fast-failing target that looks fast, and against new work for a leaving one.
TEST_CASE("targets that fail or leave")
{
    scenario host(2);
    host.observe(0, outcome::success, 10ms);
    host.observe(1, outcome::success, 10ms);
    for (int index = 0; index < 3; ++index) {
        host.observe(0, outcome::failure, 1us);
    }
    CHECK(host.start() == 1);
    SUBCASE("a target that disappears keeps its index until its requests end")
    {
        host.set.targets.erase(host.set.targets.begin() + 1);
        host.set.targets.push_back({base::target_id("t9"), 3, 400});
        host.update();
        CHECK(host.state.targets[1].info.id.value() == "t1");
        CHECK(host.state.targets[2].info.id.value() == "t9");
        CHECK(host.spread(20)[1] == 0);
        host.end(1);
        host.set.targets.push_back({base::target_id("t10"), 3, 400});
        host.update();
        CHECK(host.state.targets[1].info.id.value() == "t10");
        CHECK(host.state.targets[1].in_flight == 0);
    }
}

// Guards against a target that was slow once and is never observed again.
TEST_CASE("a slow observation fades while the target is not used")
{
    scenario host(2);
    host.observe(0, outcome::success, 500ms);
    host.observe(1, outcome::success, 10ms);
    CHECK(host.spread(50)[0] == 0);
    host.now += 120s;
    CHECK(host.spread(50)[0] > 0);
}
