#include "apps/host/target_pool.h"

#include "apps/host/target_choice.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

using namespace snipeshore;
using namespace std::chrono_literals;

namespace {

const base::time_point start = base::time_point{} + 1h;
const base::failure_domain_id domain("n1");
const std::map<base::failure_domain_id, base::region_id> regions{
    {domain, base::region_id("north")}, {base::failure_domain_id("s1"), base::region_id("south")}};

apps::target_entry make_entry(const std::string& id, const std::string& in = "n1")
{
    apps::target_entry entry;
    entry.id = base::target_id(id);
    entry.service = base::service_id("svc");
    entry.failure_domain = base::failure_domain_id(in);
    entry.address = id + ":80";
    entry.slots = 4;
    entry.started_ms = 1;
    return entry;
}

void set(apps::target_pool& pool, const std::vector<apps::target_entry>& entries,
         base::time_point now = start)
{
    apps::set_targets(
        pool, entries, [](const base::failure_domain_id&) { return false; }, regions, domain, now);
}

prediction::request_traits request_for(std::uint64_t object)
{
    return {1, object, true, 300ms};
}

apps::sent_request send(apps::target_pool& pool, std::uint32_t target, base::time_point now,
                        std::uint64_t object = 1)
{
    return apps::on_sent(pool, pool.targets[target], request_for(object), 0ms, now);
}

std::optional<affinity::placement> choose(apps::target_pool& pool, base::time_point now,
                                          std::uint64_t object = 1, bool owns = true)
{
    return apps::choose_target(pool, request_for(object), {},
                               [](const base::region_id&) { return true; }, regions,
                               {now, [owns](const base::target_id&) {
                                    return owns;
                                }});
}

} // namespace

TEST_CASE("choice and ejection of targets")
{
    apps::target_pool pool;
    pool.cold_rate = 2;
    pool.cold_time = 3s;
    set(pool, {make_entry("a"), make_entry("b")});
    SUBCASE("a leaving target gets no new requests")
    {
        auto leaving = make_entry("a");
        leaving.is_leaving = true;
        set(pool, {leaving, make_entry("b")});
        for (std::uint64_t object = 0; object < 100; ++object) {
            CHECK(pool.targets[choose(pool, start, object)->target].entry.id.value() == "b");
        }
    }
    SUBCASE("a target of a drained failure domain gets no requests, even if it is the only one")
    {
        apps::set_targets(
            pool, {make_entry("a")}, [](const base::failure_domain_id&) { return true; }, regions,
            domain, start);
        CHECK_FALSE(choose(pool, start).has_value());
    }
    SUBCASE("two failures in a row eject a target, and further failures eject it for longer")
    {
        apps::pooled_target& target = pool.targets[0];
        CHECK_FALSE(apps::on_failure(pool, target, true, start));
        CHECK(apps::on_failure(pool, target, true, start));
        const base::duration first = target.ejected_until - start;
        CHECK(apps::on_failure(pool, target, true, start));
        CHECK(target.ejected_until - start > first);
        for (std::uint64_t object = 0; object < 100; ++object) {
            CHECK(choose(pool, start, object)->target == 1);
        }
        apps::on_success(target);
        CHECK_FALSE(apps::on_failure(pool, target, true, start + 1min));
    }
    SUBCASE("a target with frequent failures is ejected, one with rare failures is not")
    {
        apps::pooled_target& failing = pool.targets[0];
        apps::pooled_target& healthy = pool.targets[1];
        bool is_failing_ejected = false;
        for (int i = 0; i < 60; ++i) {
            if (i % 2 == 0) {
                is_failing_ejected =
                    apps::on_failure(pool, failing, false, start) || is_failing_ejected;
            } else {
                apps::on_success(failing);
            }
            if (i % 20 == 0) {
                CHECK_FALSE(apps::on_failure(pool, healthy, false, start));
            } else {
                apps::on_success(healthy);
            }
        }
        CHECK(is_failing_ejected);
    }
    SUBCASE("requests go to another target when the object's first is full, and are refused when "
            "all are")
    {
        const std::uint32_t first = choose(pool, start)->target;
        for (int i = 0; i < 14; ++i) {
            send(pool, first, start);
        }
        CHECK(choose(pool, start)->target == 1 - first);
        for (int i = 0; i < 14; ++i) {
            send(pool, 1 - first, start);
        }
        CHECK_FALSE(choose(pool, start).has_value());
    }
    // Guards against a report that makes a target look full for a long time.
    SUBCASE("a report of more requests than any target queues counts as a full target")
    {
        const std::uint32_t first = choose(pool, start)->target;
        CHECK(apps::apply_load_report(pool.targets[first], "4294967295,4294967295,4", start));
        CHECK(choose(pool, start)->target == 1 - first);
        CHECK(choose(pool, start + 3s)->target == first);
    }
    SUBCASE("when most targets reject some requests, only a part of them is ejected")
    {
        std::vector<apps::target_entry> entries;
        for (int i = 0; i < 8; ++i) {
            entries.push_back(make_entry("t" + std::to_string(i)));
        }
        set(pool, entries);
        for (int i = 0; i < 100; ++i) {
            for (apps::pooled_target& target : pool.targets) {
                apps::on_failure(pool, target, false, start);
                apps::on_success(target);
            }
        }
        CHECK(std::count_if(pool.targets.begin(), pool.targets.end(),
                            [](const auto& target) { return target.ejected_until > start; }) <= 2);
        CHECK(choose(pool, start).has_value());
    }
    // Guards against a new target without requests, because others know all objects already.
    SUBCASE("objects move to a new target one by one")
    {
        const auto run = [&pool](std::uint64_t object, base::time_point now) {
            const std::uint32_t target = choose(pool, now, object)->target;
            const apps::sent_request sent = send(pool, target, now, object);
            const bool is_first = sent.known == prediction::recency::never;
            apps::on_ended(pool, pool.targets[target], sent, is_first ? 200ms : 60ms, now);
            return pool.targets[target].entry.id.value();
        };
        constexpr std::uint64_t objects = 30;
        for (int round = 0; round < 10; ++round) {
            for (std::uint64_t object = 0; object < objects; ++object) {
                run(object, start);
            }
        }
        set(pool, {make_entry("a"), make_entry("b"), make_entry("new")});
        const auto run_round = [&] {
            std::size_t on_new = 0;
            for (std::uint64_t object = 0; object < objects; ++object) {
                on_new += run(object, start + 1s) == "new" ? 1 : 0;
            }
            return on_new;
        };
        CHECK(run_round() <= 4);
        for (int round = 0; round < 50; ++round) {
            run_round();
        }
        CHECK(run_round() >= 4);
    }
    // Guards against load that others cause at a target which this host has not used lately.
    SUBCASE("without a recent report a target is as busy as other hosts say of its domain")
    {
        set(pool, {make_entry("far", "s1")});
        CHECK(choose(pool, start)->wait == 0ms);
        pool.domain_loads[base::failure_domain_id("s1")] = {3.0, start};
        CHECK(choose(pool, start)->wait > 0ms);
        CHECK(choose(pool, start + 1min)->wait == 0ms);
    }
    // Guards against an idle host that goes on telling others of the load of its last requests.
    SUBCASE("the load at home falls without further requests")
    {
        const apps::pool_view busy{start, [](const base::target_id&) {
                                       return true;
                                   }};
        std::vector<apps::sent_request> sent;
        for (int i = 0; i < 8; ++i) {
            sent.push_back(send(pool, 0, start));
        }
        apps::follow_load(pool, busy);
        CHECK(pool.home_load.domain > 0.9);
        for (const apps::sent_request& one : sent) {
            apps::on_ended(pool, pool.targets[0], one, std::nullopt, start);
        }
        apps::follow_load(pool, {start + 5s, busy.owns});
        CHECK(pool.home_load.domain < 0.1);
    }
    SUBCASE("the load reported for other hosts counts for a short time")
    {
        const std::uint32_t first = choose(pool, start)->target;
        CHECK(apps::apply_load_report(pool.targets[first], "4,10,4", start));
        CHECK(choose(pool, start)->target == 1 - first);
        CHECK(choose(pool, start + 5s)->target == first);
        CHECK_FALSE(apps::apply_load_report(pool.targets[first], "many", start));
        CHECK_FALSE(apps::apply_load_report(pool.targets[first], "", start));
    }
}

TEST_CASE("a cold target gets a limited load")
{
    apps::target_pool pool;
    pool.cold_rate = 2;
    pool.cold_time = 3s;
    auto cold = make_entry("a");
    cold.cold_for = 3s;
    set(pool, {cold});
    SUBCASE("only the host that owns it sends requests to it, within its cold rate")
    {
        CHECK_FALSE(choose(pool, start + 1s, 1, false).has_value());
        int sent = 0;
        for (int step = 0; step < 100; ++step) {
            const base::time_point now = start + 1s + step * 10ms;
            if (choose(pool, now).has_value()) {
                apps::on_ended(pool, pool.targets[0], send(pool, 0, now), std::nullopt, now);
                ++sent;
            }
        }
        CHECK(sent >= 2);
        CHECK(sent <= 4);
    }
    SUBCASE("all hosts send requests again once it is warm")
    {
        CHECK(choose(pool, start + 4s, 1, false).has_value());
    }
    SUBCASE("a target that accepted no connection is cold when it returns")
    {
        apps::target_pool other;
        other.cold_rate = 2;
        other.cold_time = 3s;
        set(other, {make_entry("a")});
        apps::on_failure(other, other.targets[0], true, start);
        apps::on_failure(other, other.targets[0], true, start);
        apps::on_unreachable(other, other.targets[0]);
        CHECK_FALSE(choose(other, other.targets[0].ejected_until + 1s, 1, false).has_value());
    }
    SUBCASE("a new incarnation under the same id starts with fresh state")
    {
        apps::on_failure(pool, pool.targets[0], true, start);
        apps::on_failure(pool, pool.targets[0], true, start);
        auto again = make_entry("a");
        again.started_ms = 2;
        set(pool, {again}, start);
        CHECK(pool.targets[0].ejected_until < start);
        CHECK(pool.targets[0].cold_until < start);
        CHECK_FALSE(apps::is_cold(pool, pool.targets[0], start));
    }
}
