#include "membership/detection.h"
#include "membership/table.h"
#include "membership/tests/records.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace snipeshore;
using namespace snipeshore::membership;
using namespace std::chrono_literals;

namespace {

const table_limits limits;
const detection_settings settings;
const base::time_point start{1000s};
const base::host_id host_a("a");

} // namespace

// Guards against a host that no other host probes, whose failure would not be detected.
TEST_CASE("every host of a failure domain is probed by its predecessors on the ring")
{
    CHECK(rc::check("ring_successors", []() {
        const auto size = *rc::gen::inRange<std::size_t>(1, 12);
        table members;
        for (std::size_t index = 0; index < size; ++index) {
            merge(members, make_record("h" + std::to_string(index), 1, 1), start, limits);
        }
        merge(members, make_record("far", 1, 1, inner::host_status::live, "fd2"), start, limits);
        std::map<base::host_id, std::size_t> probed;
        for (std::size_t index = 0; index < size; ++index) {
            const auto self = make_record("h" + std::to_string(index), 1, 1);
            const auto successors = ring_successors(members, self, 3);
            RC_ASSERT(std::set(successors.begin(), successors.end()).size() == successors.size());
            for (const auto& host : successors) {
                RC_ASSERT(host != self.host);
                ++probed[host];
            }
        }
        RC_ASSERT(!probed.contains(base::host_id("far")));
        for (const auto& [host, item] : members.members) {
            if (item.record.failure_domain.value() == "fd1") {
                RC_ASSERT(probed[host] == std::min<std::size_t>(3, size - 1));
            }
        }
    }));
}

TEST_CASE("failure detection")
{
    table members;
    merge(members, make_record("a", 1, 1), start, limits);
    detection state;
    set_probed(state, {host_a}, start, settings);

    SUBCASE("a host is marked dead at its deadline, once")
    {
        CHECK(mark_dead(members, state, start + settings.failure_timeout - 1ms).empty());
        const auto marked = mark_dead(members, state, start + settings.failure_timeout);
        REQUIRE(marked.size() == 1);
        CHECK(marked[0].status == inner::host_status::dead);
        CHECK(marked[0].counter == 1);
        CHECK(mark_dead(members, state, start + 60s).empty());
    }
    SUBCASE("an answered probe extends the deadline")
    {
        on_probe_answered(state, host_a, start + 4s, settings);
        set_probed(state, {host_a}, start + 4s, settings);
        CHECK(mark_dead(members, state, start + 8s).empty());
        CHECK(mark_dead(members, state, start + 9s).size() == 1);
    }
    SUBCASE("a late answer from a host that is no longer probed changes nothing")
    {
        set_probed(state, {}, start, settings);
        on_probe_answered(state, host_a, start, settings);
        CHECK(state.deadlines.empty());
    }
    SUBCASE("a detector that was frozen does not mark other hosts dead")
    {
        restart_deadlines(state, start + 60s, settings);
        CHECK(mark_dead(members, state, start + 60s).empty());
        CHECK(mark_dead(members, state, start + 65s).size() == 1);
    }
}

// Guards against a host that acts on an outdated view after it was frozen.
TEST_CASE("a freeze of the own process")
{
    freeze_state state;
    CHECK_FALSE(observe_tick(state, start, settings));
    CHECK_FALSE(may_act(state, start));
    on_peer_answered(state, start);
    CHECK(may_act(state, start));
    CHECK_FALSE(observe_tick(state, start + 1s, settings));
    CHECK(may_act(state, start + 1s));

    const auto after_freeze = start + 30s;
    CHECK(observe_tick(state, after_freeze, settings));
    CHECK_FALSE(may_act(state, after_freeze));
    SUBCASE("an answer to a call from before the freeze does not count")
    {
        on_peer_answered(state, start + 1s);
        CHECK_FALSE(may_act(state, after_freeze));
    }
    SUBCASE("an answer from a peer confirms the view")
    {
        on_peer_answered(state, after_freeze);
        CHECK(may_act(state, after_freeze));
    }
    SUBCASE("a host that reaches no peer may act again after the failure timeout")
    {
        CHECK_FALSE(may_act(state, after_freeze + settings.failure_timeout - 1ms));
        CHECK(may_act(state, after_freeze + settings.failure_timeout));
    }
}
