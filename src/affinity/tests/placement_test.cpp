#include "affinity/placement.h"

#include "base/hash.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>

using namespace snipeshore;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t object_count = 1000;
const std::vector<std::uint32_t> regions{0, 0, 1, 1};

affinity::placement_target make_target(int number, std::uint32_t domain, std::uint32_t slots = 4)
{
    return {base::stable_hash("target-" + std::to_string(number)), domain, regions[domain], slots};
}

std::vector<affinity::placement_target> make_targets(int per_domain)
{
    std::vector<affinity::placement_target> targets;
    for (std::uint32_t domain = 0; domain < regions.size(); ++domain) {
        for (int i = 0; i < per_domain; ++i) {
            targets.push_back(make_target(static_cast<int>(targets.size()), domain));
        }
    }
    return targets;
}

std::uint64_t object(std::uint64_t number)
{
    return base::stable_hash("object-" + std::to_string(number));
}

std::vector<std::uint32_t> rank(const affinity::layout& layout, std::uint64_t number)
{
    return affinity::rank_targets(layout, object(number), false,
                                  [](std::uint32_t) { return true; });
}

} // namespace

TEST_CASE("objects keep their targets")
{
    SUBCASE("two hosts of a failure domain agree, whatever the order of their targets")
    {
        auto targets = make_targets(4);
        const auto one = affinity::make_layout(targets, regions, 0);
        std::reverse(targets.begin(), targets.end());
        const auto other = affinity::make_layout(targets, regions, 0);
        for (std::uint64_t i = 0; i < object_count; ++i) {
            CHECK(one.targets[rank(one, i).front()].hash ==
                  other.targets[rank(other, i).front()].hash);
        }
    }
    SUBCASE("removing a target moves only its own objects")
    {
        auto targets = make_targets(4);
        const auto before = affinity::make_layout(targets, regions, 0);
        const std::uint64_t removed = targets[2].hash;
        targets.erase(targets.begin() + 2);
        auto after = affinity::make_layout(targets, regions, 0);
        after.domain_fraction = before.domain_fraction;
        after.region_fraction = before.region_fraction;
        for (std::uint64_t i = 0; i < object_count; ++i) {
            const std::uint64_t first = before.targets[rank(before, i).front()].hash;
            if (first != removed) {
                CHECK(after.targets[rank(after, i).front()].hash == first);
            }
        }
    }
    SUBCASE("with equal capacities all objects stay in their failure domain")
    {
        const auto layout = affinity::make_layout(make_targets(4), regions, 3);
        for (std::uint64_t i = 0; i < object_count; ++i) {
            CHECK(layout.targets[rank(layout, i).front()].failure_domain == 3);
        }
    }
    SUBCASE("objects that a small failure domain cannot serve move to domains with spare capacity")
    {
        std::vector<affinity::placement_target> targets{make_target(0, 0), make_target(1, 1)};
        for (int i = 0; i < 8; ++i) {
            targets.push_back(make_target(2 + i, 2 + static_cast<std::uint32_t>(i % 2)));
        }
        const auto layout = affinity::make_layout(targets, regions, 0);
        std::map<std::uint32_t, int> used;
        for (std::uint64_t i = 0; i < object_count; ++i) {
            ++used[layout.targets[rank(layout, i).front()].failure_domain];
        }
        CHECK(used[0] < 600);
        CHECK(used[1] < 100);
        CHECK(used[2] + used[3] > 400);
    }
    SUBCASE(
        "a region without enough targets loses objects from all its domains, so that none of them "
        "gets those of a domain without targets on top of its own")
    {
        // Failure domain 1 of the region has no target, so domain 0 serves both.
        std::vector<affinity::placement_target> targets{make_target(0, 0), make_target(1, 0)};
        for (int i = 0; i < 6; ++i) {
            targets.push_back(make_target(2 + i, i % 2 == 0 ? 2 : 3));
        }
        const auto layout = affinity::make_layout(targets, regions, 0);
        int stayed = 0;
        for (std::uint64_t i = 0; i < object_count; ++i) {
            stayed += layout.targets[rank(layout, i).front()].region == 0 ? 1 : 0;
        }
        const auto count = static_cast<double>(object_count);
        CHECK(stayed < 0.65 * count);
        CHECK(stayed > 0.35 * count);
    }
    SUBCASE("a shared object has the same target for both failure domains of a region")
    {
        const auto targets = make_targets(2);
        const auto one = affinity::make_layout(targets, regions, 0);
        const auto other = affinity::make_layout(targets, regions, 1);
        for (std::uint64_t i = 0; i < object_count; ++i) {
            const auto first_shared = [&](const affinity::layout& of) {
                return affinity::rank_targets(of, object(i), true,
                                              [](std::uint32_t) { return true; })
                    .front();
            };
            CHECK(first_shared(one) == first_shared(other));
        }
    }
    SUBCASE("targets that are not allowed are never ranked")
    {
        const auto layout = affinity::make_layout(make_targets(2), regions, 0);
        for (std::uint64_t i = 0; i < object_count; ++i) {
            const auto ranked =
                affinity::rank_targets(layout, object(i), false, [&](std::uint32_t index) {
                    return layout.targets[index].region == 1;
                });
            CHECK(std::all_of(ranked.begin(), ranked.end(), [&](std::uint32_t index) {
                return layout.targets[index].region == 1;
            }));
        }
    }
}

TEST_CASE("load is bounded")
{
    const std::vector<std::uint32_t> ranked{0, 1, 2};
    std::vector<affinity::target_load> loads(3);
    for (auto& load : loads) {
        load.slots = 4;
        load.service_time = 100ms;
        load.queue_time = 100ms;
    }
    const auto load_of = [&](std::uint32_t index) {
        return loads[index];
    };
    SUBCASE("a short wait does not move an object to a cold target")
    {
        loads[0].requests = 5;
        CHECK(affinity::choose(ranked, load_of, 150ms)->target == 0);
    }
    SUBCASE("a long wait moves the object")
    {
        loads[0].requests = 13;
        CHECK(affinity::choose(ranked, load_of, 150ms)->target == 1);
    }
    SUBCASE("a shorter wait moves the object to another target that knows it already")
    {
        loads[0].requests = 9;
        CHECK(affinity::choose(ranked, load_of, 150ms)->target == 0);
        loads[1].knows_object = true;
        CHECK(affinity::choose(ranked, load_of, 150ms)->target == 1);
    }
    SUBCASE("a slow target loses its objects if other targets are free")
    {
        loads[0].service_time = 500ms;
        CHECK(affinity::choose(ranked, load_of, 150ms)->target == 1);
    }
    SUBCASE("using the next target instead of an unusable one does not count as a move")
    {
        loads[0].usable = false;
        CHECK(affinity::choose(ranked, load_of, 150ms)->rank == 0);
    }
    SUBCASE("no target is chosen if all are full")
    {
        for (auto& load : loads) {
            load.requests = 14;
        }
        CHECK_FALSE(affinity::choose(ranked, load_of, 150ms).has_value());
    }
}

// Guards against a fixed division of the objects: when callers move, one region's targets refuse
// requests while those of others are idle.
TEST_CASE("objects leave a busy failure domain and region, and return when it is idle again")
{
    const auto layout_with = [](const affinity::home_share& home) {
        auto layout = affinity::make_layout(make_targets(4), regions, 0);
        layout.home = home;
        return layout;
    };
    const auto fraction_at_home = [](const affinity::layout& layout) {
        int stayed = 0;
        for (std::uint64_t i = 0; i < object_count; ++i) {
            stayed += layout.targets[rank(layout, i).front()].failure_domain == 0 ? 1 : 0;
        }
        return stayed / static_cast<double>(object_count);
    };
    affinity::home_share home;
    base::time_point now{};
    home.adapted_at = now;
    const auto run = [&](const affinity::home_load& load, std::chrono::seconds time) {
        for (auto passed = 0ms; passed < time; passed += 100ms) {
            now += 100ms;
            affinity::adapt_home(home, load, now);
        }
    };
    SUBCASE("with a usual load nothing moves")
    {
        run({0.7, 0.7}, 60s);
        CHECK(fraction_at_home(layout_with(home)) == 1.0);
    }
    SUBCASE("a region loses at most a seventh of its objects in two seconds")
    {
        run({2, 2}, 2s);
        const auto layout = layout_with(home);
        CHECK(layout.region_fraction * home.region > 1 - 1.0 / 7);
        // Those that left the failure domain share the targets of the whole region.
        CHECK(fraction_at_home(layout) < 0.8);
    }
    SUBCASE("the same objects leave first")
    {
        run({2, 2}, 1s);
        const auto before = layout_with(home);
        run({2, 2}, 1s);
        const auto after = layout_with(home);
        for (std::uint64_t i = 0; i < object_count; ++i) {
            const bool had_left = before.targets[rank(before, i).front()].failure_domain != 0;
            const bool is_back = after.targets[rank(after, i).front()].failure_domain == 0;
            CHECK_FALSE((had_left && is_back));
        }
    }
    SUBCASE("some objects stay, and all return once the targets are idle")
    {
        run({5, 5}, 60s);
        CHECK(fraction_at_home(layout_with(home)) > 0);
        run({0.1, 0.1}, 60s);
        CHECK(fraction_at_home(layout_with(home)) == 1.0);
    }
    SUBCASE("a pause of the process moves no more than a second would")
    {
        affinity::adapt_home(home, {2, 2}, now + 1h);
        CHECK(home.region > 0.9);
    }
}
