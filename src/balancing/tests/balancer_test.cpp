#include "balancing/balancer.h"

#include <doctest/doctest.h>

#include <cmath>
#include <string>
#include <vector>

using namespace snipeshore;
using namespace snipeshore::balancing;
using namespace std::chrono_literals;

namespace {

/// One entry host whose targets all have an idle connection.
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

    /// Starts a request. Returns the index of its target, or -1 if there is none.
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

    /// Sends `count` requests, one at a time. Returns the fraction that each target gets.
    std::vector<double> send_requests(int count)
    {
        std::vector<double> fraction(state.targets.size(), 0.0);
        for (int index = 0; index < count; ++index) {
            const int target = start(false);
            fraction[static_cast<std::size_t>(target)] += 1.0 / count;
            end(static_cast<std::uint32_t>(target));
        }
        return fraction;
    }
};

} // namespace

// Guards against sending all requests to a target because it reports that it is idle.
TEST_CASE("observed latency takes precedence over reported load")
{
    scenario host(2);
    host.observe(0, outcome::success, 50ms);
    host.observe(1, outcome::success, 10ms);
    on_load_report(host.state, 0, 0.0, host.now);
    on_load_report(host.state, 1, 9.0, host.now);
    CHECK(host.start() == 1);
    SUBCASE("requests in flight take precedence over reported load, too")
    {
        host.observe(0, outcome::success, 10ms);
        for (int index = 0; index < 20; ++index) {
            host.observe(0, outcome::success, 10ms);
        }
        on_load_report(host.state, 0, 9.0, host.now);
        on_load_report(host.state, 1, 0.0, host.now);
        CHECK(host.start() == 0);
    }
    SUBCASE("reported load breaks a tie")
    {
        scenario equal(2);
        on_load_report(equal.state, 0, 9.0, equal.now);
        on_load_report(equal.state, 1, 1.0, equal.now);
        CHECK(equal.start() == 1);
        CHECK(equal.state.recent[0].reason == choice_reason::reported_load);
    }
}

// Guards against opening more connections than a target allows for all hosts together.
TEST_CASE("the connection limit is enforced")
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

// Guards against opening a connection while a target of equal cost has an idle one.
TEST_CASE("a target with an idle connection is preferred")
{
    scenario host(2);
    set_idle_connections(host.state, 0, 0);
    for (int index = 0; index < 10; ++index) {
        CHECK(host.start() == 1);
        host.end(1);
    }
    SUBCASE("but not if it is much slower")
    {
        host.observe(0, outcome::success, 10ms);
        host.observe(1, outcome::success, 100ms);
        CHECK(host.start() == 0);
    }
}

// Guards against a cold target that gets its full load at once or never.
TEST_CASE("a new target goes through slow start")
{
    scenario host(3);
    host.set.targets.push_back({base::target_id("new"), 3, 400});
    host.update();
    const auto in_flight_fraction = [&] {
        std::vector<int> started;
        for (int index = 0; index < 120; ++index) {
            started.push_back(host.start());
        }
        const double fraction = host.state.targets[3].in_flight / 120.0;
        for (const int target : started) {
            host.end(static_cast<std::uint32_t>(target));
        }
        return fraction;
    };
    CHECK(in_flight_fraction() < 0.06);
    host.now += 15s;
    const double halfway = in_flight_fraction();
    CHECK(halfway > 0.1);
    CHECK(halfway < 0.2);
    host.now += 15s;
    CHECK(in_flight_fraction() == doctest::Approx(0.25).epsilon(0.1));
    SUBCASE("also after its drain was cancelled")
    {
        host.set.targets[3].leaving = true;
        host.update();
        CHECK(in_flight_fraction() == 0);
        host.set.targets[3].leaving = false;
        host.update();
        CHECK(in_flight_fraction() < 0.06);
    }
}

// Guards against sending the same load to a target that sheds load.
TEST_CASE("a target that sheds load gets fewer requests until it recovers")
{
    scenario host(2);
    for (int index = 0; index < 3; ++index) {
        host.observe(0, outcome::load_shed);
    }
    CHECK(host.send_requests(50)[0] == 0);
    CHECK(host.state.targets[0].phase == ejection_phase::active);
    host.now += 20s;
    CHECK(host.send_requests(50)[0] > 0.2);
}

// Guards against ejecting most targets, against ejections that never end, and against sending many
// requests to a target that has not passed its trial.
TEST_CASE("outlier ejection")
{
    scenario host(6);
    const auto fail = [&](std::uint32_t target) {
        for (int index = 0; index < 5; ++index) {
            host.observe(target, outcome::failure);
        }
    };
    SUBCASE("at most a third of the targets is ejected")
    {
        for (std::uint32_t target = 0; target < 6; ++target) {
            fail(target);
        }
        int ejected = 0;
        for (const auto& target : host.state.targets) {
            ejected += target.phase != ejection_phase::active ? 1 : 0;
        }
        CHECK(ejected == 2);
        SUBCASE("also after the target set has become smaller")
        {
            host.set.targets.erase(host.set.targets.begin() + 3, host.set.targets.end());
            host.update();
            CHECK((host.state.targets[0].phase == ejection_phase::active ||
                   host.state.targets[1].phase == ejection_phase::active));
        }
    }
    SUBCASE("a target is readmitted after one trial request and goes through slow start")
    {
        fail(0);
        CHECK(host.send_requests(50)[0] == 0);
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
    SUBCASE("a cancelled trial is repeated")
    {
        fail(0);
        host.now += 5s;
        CHECK(host.start() == 0);
        host.end(0, outcome::cancelled);
        CHECK(host.start() == 0);
    }
    SUBCASE("a non-idempotent request is never a trial")
    {
        fail(0);
        host.now += 5s;
        CHECK(host.start(false) != 0);
    }
}

// Guards against preferring a target because it fails quickly, and against new requests to a
// removed target.
TEST_CASE("failing and removed targets get no requests")
{
    scenario host(2);
    host.observe(0, outcome::success, 10ms);
    host.observe(1, outcome::success, 10ms);
    for (int index = 0; index < 3; ++index) {
        host.observe(0, outcome::failure, 1us);
    }
    CHECK(host.start() == 1);
    SUBCASE("a removed target keeps its index until its requests end")
    {
        host.set.targets.erase(host.set.targets.begin() + 1);
        host.set.targets.push_back({base::target_id("t9"), 3, 400});
        host.update();
        CHECK(host.state.targets[1].info.id.value() == "t1");
        CHECK(host.state.targets[2].info.id.value() == "t9");
        CHECK(host.send_requests(20)[1] == 0);
        host.end(1);
        host.set.targets.push_back({base::target_id("t10"), 3, 400});
        host.update();
        CHECK(host.state.targets[1].info.id.value() == "t10");
        CHECK(host.state.targets[1].in_flight == 0);
    }
}

// Guards against a target that gets no more requests because it was slow once.
TEST_CASE("a high latency estimate decays while the target is not used")
{
    scenario host(2);
    host.observe(0, outcome::success, 500ms);
    host.observe(1, outcome::success, 10ms);
    CHECK(host.send_requests(50)[0] == 0);
    host.now += 120s;
    CHECK(host.send_requests(50)[0] > 0);
}

// Guards against requests to a target that has asked for a rest.
TEST_CASE("a target that asks for a rest gets no request until its end")
{
    scenario host(2);
    on_rest(host.state, 0, {5s, 1, 0}, host.now);
    CHECK(host.send_requests(50)[0] == 0);
    host.now += 4900ms;
    CHECK(host.send_requests(50)[0] == 0);
    host.now += 200ms;
    CHECK(host.send_requests(50)[0] > 0.2);
    SUBCASE("also if all targets rest")
    {
        on_rest(host.state, 0, {5s, 1, 0}, host.now);
        on_rest(host.state, 1, {3s, 1, 0}, host.now);
        CHECK(host.start() == -1);
        host.now += 3100ms;
        CHECK(host.start() == 1);
    }
    SUBCASE("also if its ejection ends meanwhile")
    {
        scenario many(6);
        for (int index = 0; index < 20; ++index) {
            many.observe(0, outcome::failure);
        }
        REQUIRE(many.state.targets[0].phase == ejection_phase::ejected);
        on_rest(many.state, 0, {10min, 1, 0}, many.now);
        many.now += 5min;
        for (int index = 0; index < 20; ++index) {
            CHECK(many.start() != 0);
        }
    }
}
