#include "reachability/target_reach.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

using namespace snipeshore;
using namespace std::chrono_literals;
using reachability::probe_result;

namespace {

constexpr base::time_point start = base::time_point{} + 1h;

base::target_id target(int number)
{
    return base::target_id("t" + std::to_string(number));
}

/// Runs one round whose probes all have the same result; returns whether it changed the state.
bool run_round(reachability::target_reach& reach, probe_result result, base::time_point now)
{
    REQUIRE(reachability::should_probe(reach, now));
    reachability::begin_round(reach, 3, now);
    CHECK_FALSE(reachability::should_probe(reach, now + 100ms));
    bool has_changed = false;
    for (int probe = 0; probe < 3; ++probe) {
        has_changed = reachability::on_probe_result(reach, result, now + 300ms) || has_changed;
    }
    return has_changed;
}

/// A host that has lost all its paths at `start` and has noticed it.
reachability::target_reach make_cut()
{
    reachability::target_reach reach;
    reachability::on_connect_failed(reach, target(1), start);
    reachability::on_connect_failed(reach, target(2), start);
    CHECK_FALSE(run_round(reach, probe_result::timed_out, start));
    CHECK(run_round(reach, probe_result::timed_out, start + 300ms));
    CHECK(reach.is_cut);
    return reach;
}

} // namespace

TEST_CASE("a host suspects its paths")
{
    reachability::target_reach reach;
    SUBCASE("not without traffic")
    {
        CHECK_FALSE(reachability::should_probe(reach, start));
        CHECK_FALSE(reachability::next_check(reach, start).has_value());
    }
    SUBCASE("not because one target fails again and again")
    {
        for (int i = 0; i < 10; ++i) {
            reachability::on_connect_failed(reach, target(1), start + i * 100ms);
        }
        CHECK_FALSE(reachability::should_probe(reach, start + 1s));
    }
    SUBCASE("when several targets fail to connect within a short time")
    {
        reachability::on_connect_failed(reach, target(1), start);
        reachability::on_connect_failed(reach, target(2), start + 2s);
        CHECK_FALSE(reachability::should_probe(reach, start + 2s));
        reachability::on_connect_failed(reach, target(3), start + 2s);
        CHECK(reachability::should_probe(reach, start + 2s));
    }
    SUBCASE("when no target responds for longer than predicted")
    {
        reachability::on_request_sent(reach, 200ms, start);
        reachability::on_request_sent(reach, 50ms, start);
        CHECK(reachability::next_check(reach, start) == start + 300ms);
        CHECK(reachability::should_probe(reach, start + 300ms));
        reachability::on_response(reach, start + 290ms);
        CHECK_FALSE(reachability::should_probe(reach, start + 300ms));
    }
}

TEST_CASE("a host finds out whether it is cut from all targets")
{
    reachability::target_reach reach;
    reachability::on_connect_failed(reach, target(1), start);
    reachability::on_connect_failed(reach, target(2), start);
    SUBCASE("a single round without a connection is no proof")
    {
        CHECK_FALSE(run_round(reach, probe_result::timed_out, start));
        CHECK_FALSE(run_round(reach, probe_result::connected, start + 300ms));
        CHECK_FALSE(reach.is_cut);
    }
    SUBCASE("two rounds are")
    {
        CHECK_FALSE(run_round(reach, probe_result::refused, start));
        CHECK(run_round(reach, probe_result::refused, start + 300ms));
        CHECK(reach.is_cut);
    }
    SUBCASE("one target that accepts a connection shows that others are down")
    {
        reachability::begin_round(reach, 3, start);
        reachability::on_probe_result(reach, probe_result::refused, start);
        reachability::on_probe_result(reach, probe_result::timed_out, start);
        reachability::on_probe_result(reach, probe_result::connected, start);
        CHECK_FALSE(reachability::should_probe(reach, start + 100ms));
        CHECK_FALSE(reachability::should_probe(reach, start + 10s));
    }
    SUBCASE("time-outs while responses arrive are due to packet loss")
    {
        reachability::begin_round(reach, 1, start);
        reachability::on_response(reach, start + 100ms);
        CHECK_FALSE(reachability::on_probe_result(reach, probe_result::timed_out, start + 300ms));
        CHECK(reach.rounds_in_row == 0);
    }
    SUBCASE("refusals while responses arrive are a cut: only existing connections live on")
    {
        for (int round = 0; round < 2; ++round) {
            const base::time_point now = start + round * 300ms;
            reachability::begin_round(reach, 1, now);
            reachability::on_response(reach, now);
            reachability::on_probe_result(reach, probe_result::refused, now + 1ms);
        }
        CHECK(reach.is_cut);
    }
    SUBCASE("within the time that the users' rule allows")
    {
        // A hanging connection, the interval after a round that found no cut, and two rounds.
        CHECK(350ms + 700ms + 2 * 300ms < 3000ms);
    }
}

TEST_CASE("a host finds the end of a cut")
{
    reachability::target_reach reach = make_cut();
    base::time_point now = start + 600ms;
    const auto next_round = [&](probe_result result) {
        now = reachability::next_check(reach, now).value();
        const bool has_changed = run_round(reach, result, now);
        now += 300ms;
        return has_changed;
    };
    SUBCASE("only after connections in several rounds in a row")
    {
        CHECK_FALSE(next_round(probe_result::connected));
        CHECK_FALSE(next_round(probe_result::timed_out));
        CHECK_FALSE(next_round(probe_result::connected));
        CHECK(next_round(probe_result::connected));
        CHECK_FALSE(reach.is_cut);
    }
    SUBCASE("with probes at a bounded rate")
    {
        const base::time_point begun = now;
        int rounds = 0;
        while (now < begun + 10s) {
            next_round(probe_result::refused);
            ++rounds;
        }
        CHECK(rounds <= 20);
    }
    SUBCASE("later, if the paths were lost again soon after the last end")
    {
        unsigned rounds = 0;
        for (int relapse = 0; relapse < 5; ++relapse) {
            while (reach.is_cut) {
                next_round(probe_result::connected);
            }
            reachability::on_connect_failed(reach, target(1), now);
            reachability::on_connect_failed(reach, target(2), now);
            while (!reach.is_cut) {
                next_round(probe_result::refused);
            }
            CHECK(reach.rounds_to_recover >= rounds);
            rounds = reach.rounds_to_recover;
        }
        CHECK(rounds == 16);
    }
}

// Guards against look-ups that follow a link which comes and goes each second.
TEST_CASE("links that come and go each second change the state a few times only")
{
    reachability::target_reach reach;
    int changes = 0;
    std::vector<base::time_point> due;
    for (base::time_point now = start; now < start + 60s; now += 50ms) {
        const bool is_up = (now - start) / 1s % 2 == 1;
        if (!reach.is_cut && !is_up) {
            reachability::on_connect_failed(reach, target(1), now);
            reachability::on_connect_failed(reach, target(2), now);
        }
        if (reachability::should_probe(reach, now)) {
            reachability::begin_round(reach, 1, now);
            const probe_result result = is_up ? probe_result::connected : probe_result::refused;
            changes += reachability::on_probe_result(reach, result, now) ? 1 : 0;
        }
    }
    CHECK(changes <= 12);
}
