#include "base/result.h"
#include "bench/steering_model.h"
#include "steering/decide.h"
#include "steering/plan.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <numeric>

using namespace snipeshore;
using namespace snipeshore::steering;
using namespace std::chrono_literals;

namespace {

/// One decider that owns all capacity. There are three regions with one failure domain and 8000
/// usable requests per second each, one site with its home in each region, and two services.
struct scenario {
    config::document document;
    steering::plan plan;
    steering::inputs inputs;
    steering_state state;
    base::time_point now{1h};

    explicit scenario(double demand_per_row = 2000, double warm_up_s = 0, double bits = 4e9)
    {
        bench::fleet_shape shape;
        shape.domains_per_region = 1;
        shape.hosts_per_domain = 1;
        shape.sites = 3;
        shape.region_capacity = 10000;
        shape.link_bits = static_cast<std::uint64_t>(bits);
        document = bench::make_document(shape);
        document.hosts.resize(1);
        for (auto& service : document.services) {
            service.warm_up = std::chrono::milliseconds(static_cast<int>(warm_up_s * 1000));
        }
        replan();
        inputs.demand.assign(6, demand_per_row);
        inputs.domain_health.assign(3, {domain_health::healthy, now, std::nullopt});
        inputs.region_load.assign(3, {2 * demand_per_row, now});
        inputs.link_bits.assign(plan.links.size(), {0, now});
    }

    void replan()
    {
        plan = base::value_of(make_plan(document));
    }

    /// Advances the time by `advance` and decides once, with load measurements taken `age` before.
    decision step(base::duration advance = 1s, base::duration age = 0s)
    {
        now += advance;
        inputs.demand_taken = now;
        for (auto& load : inputs.region_load) {
            load.taken = now - age;
        }
        for (auto& load : inputs.link_bits) {
            load.taken = now - age;
        }
        for (auto& health : inputs.domain_health) {
            health.taken = now;
        }
        decision result = decide(plan, inputs, state, now);
        state = result.state;
        return result;
    }

    double load(std::size_t domain) const
    {
        double sum = 0;
        for (std::size_t row = 0; row < 6; ++row) {
            sum += inputs.demand[row] * state.weights.weights[row * 3 + domain] / full_weight;
        }
        return sum;
    }

    double admitted() const
    {
        return load(0) + load(1) + load(2);
    }
};

} // namespace

// Guards against shifts of traffic without a cause.
TEST_CASE("without faults every caller stays at its nearest failure domain")
{
    scenario fleet;
    fleet.step();
    const decision second = fleet.step();
    CHECK(second.shifted == 0);
    CHECK(second.records.empty());
    CHECK(fleet.load(0) == doctest::Approx(4000));
    CHECK(fleet.state.placements[0] == placement_reason::at_home);
}

// Guards against a lost region whose traffic overloads receivers with cold caches, and against
// traffic that stays refused for ever.
TEST_CASE("traffic of a lost region is refused at once and admitted elsewhere within the shift cap")
{
    scenario fleet;
    fleet.step();
    fleet.inputs.domain_health[0].health = domain_health::lost;
    const decision first = fleet.step();
    CHECK(fleet.load(0) == 0);
    CHECK(first.shifted <= 0.05 * 12000 + 1e-6);
    CHECK(first.shifted > 0.04 * 12000);
    CHECK(first.records.front().kind == record_kind::shed);
    CHECK(first.records.front().placement == placement_reason::home_lost);
    CHECK(fleet.state.waits[0] == wait_reason::shift_cap);
    for (int interval = 0; interval < 10; ++interval) {
        CHECK(fleet.step().shifted <= 0.05 * 12000 + 1e-6);
    }
    CHECK(fleet.admitted() == doctest::Approx(12000).epsilon(0.001));

    SUBCASE("the traffic returns when the region is healthy again")
    {
        fleet.inputs.domain_health[0].health = domain_health::healthy;
        fleet.inputs.region_load = {{0, {}}, {6000, {}}, {6000, {}}};
        for (int interval = 0; interval < 20; ++interval) {
            CHECK(fleet.step().shifted <= 0.05 * 12000 + 1e-6);
            CHECK(fleet.admitted() == doctest::Approx(12000).epsilon(0.001));
        }
        CHECK(fleet.load(0) == doctest::Approx(4000).epsilon(0.001));
    }
}

// Guards against two decisions in quick succession that each use the whole cap in one interval.
TEST_CASE("two decisions that shift traffic are at least one interval apart")
{
    scenario fleet;
    fleet.step();
    fleet.inputs.domain_health[0].health = domain_health::lost;
    CHECK(fleet.step().shifted > 0);
    const decision early = fleet.step(999ms);
    CHECK(early.shifted == 0);
    CHECK(fleet.state.waits[0] == wait_reason::interval);
    CHECK(fleet.step(1ms).shifted > 0);
}

// Guards against stale or missing load measurements that are taken for an idle region.
TEST_CASE("stale measurements reduce the traffic that is shifted")
{
    scenario fleet(3000);
    fleet.plan.settings.shift_cap_fraction = 1;
    fleet.step();
    fleet.inputs.domain_health[0].health = domain_health::lost;
    SUBCASE("fresh measurements: the whole headroom of both receivers is used")
    {
        CHECK(fleet.step().shifted == doctest::Approx(4000).epsilon(0.01));
    }
    SUBCASE("measurements at 1.5 times the allowed age: half of the headroom is used")
    {
        CHECK(fleet.step(1s, 22500ms).shifted == doctest::Approx(2000).epsilon(0.01));
    }
    SUBCASE("measurements at twice the allowed age or missing: nothing is shifted")
    {
        CHECK(fleet.step(1s, 30s).shifted == 0);
        CHECK(fleet.state.waits[0] == wait_reason::measurement_missing);
        fleet.inputs.region_load.clear();
        CHECK(fleet.step().shifted == 0);
    }
    SUBCASE("measurements from the future or not a number: nothing is shifted")
    {
        CHECK(fleet.step(1s, -1s).shifted == 0);
        fleet.inputs.region_load.assign(3, measurement{});
        CHECK(fleet.step().shifted == 0);
    }
    SUBCASE("unknown health of the receivers: nothing is shifted")
    {
        fleet.inputs.domain_health[1].health = domain_health::unknown;
        fleet.inputs.domain_health[2].health = domain_health::unknown;
        CHECK(fleet.step().shifted == 0);
    }
    SUBCASE("unknown demand of the decider's own callers: nothing is shifted")
    {
        fleet.inputs.demand.assign(6, -1);
        CHECK(fleet.step().shifted == 0);
        CHECK(fleet.state.waits[0] == wait_reason::demand_missing);
    }
}

// Guards against using the same measured headroom repeatedly before a measurement shows the shifts.
TEST_CASE("shifts that measurements do not show yet count against the headroom")
{
    scenario fleet;
    fleet.plan.settings.shift_cap_fraction = 1;
    fleet.inputs.region_load = {{2000, {}}, {7000, {}}, {7000, {}}};
    fleet.step();
    fleet.inputs.domain_health[0].health = domain_health::lost;
    double shifted = 0;
    for (int interval = 0; interval < 10; ++interval) {
        shifted += fleet.step(1s, 12s).shifted;
    }
    CHECK(shifted == doctest::Approx(2000).epsilon(0.01));
    CHECK(fleet.state.waits[0] == wait_reason::receiver_full);
}

// Guards against shifting traffic to receivers faster than their cold caches can warm up.
TEST_CASE("traffic is shifted no faster than the receivers warm up")
{
    scenario fleet(2000, 40);
    fleet.plan.settings.shift_cap_fraction = 1;
    fleet.step();
    fleet.inputs.domain_health[0].health = domain_health::lost;
    CHECK(fleet.step().shifted == doctest::Approx(2 * 8000 / 40.0).epsilon(0.01));
    CHECK(fleet.state.waits[0] == wait_reason::receiver_warming);
}

// Guards against shifted traffic that uses the headroom of links between regions.
TEST_CASE("links between regions keep their headroom")
{
    scenario fleet(2000, 0, 50e6);
    fleet.plan.settings.shift_cap_fraction = 1;
    fleet.step();
    fleet.inputs.domain_health[0].health = domain_health::lost;
    SUBCASE("an idle link is filled to its usable capacity")
    {
        // 40 Mbit/s usable per link, 131,072 bits per response.
        CHECK(fleet.step().shifted == doctest::Approx(2 * 40e6 / 131072).epsilon(0.01));
        CHECK(fleet.state.waits[0] == wait_reason::link_full);
    }
    SUBCASE("a link that carries other traffic takes less")
    {
        fleet.inputs.link_bits.assign(fleet.plan.links.size(), {30e6, {}});
        CHECK(fleet.step().shifted == doctest::Approx(2 * 10e6 / 131072).epsilon(0.01));
    }
    SUBCASE("without a link nothing is shifted")
    {
        fleet.document.links.clear();
        fleet.replan();
        CHECK(fleet.step().shifted == 0);
    }
}

// Guards against a drain that starts too late and therefore refuses requests.
TEST_CASE("a planned drain completes in time without refusing requests")
{
    scenario fleet;
    fleet.step();
    fleet.inputs.drains = {{0, fleet.now + 50s}};
    CHECK(fleet.step().shifted == 0);
    while (fleet.now < fleet.inputs.drains[0].empty_by - 5s) {
        CHECK(fleet.step().shifted <= 0.05 * 12000 + 1e-6);
        CHECK(fleet.admitted() == doctest::Approx(12000).epsilon(0.001));
    }
    CHECK(fleet.load(0) == 0);
    CHECK(fleet.state.placements[0] == placement_reason::home_draining);
}

// Guards against refusals that affect the callers of one service or site more than others.
TEST_CASE("of the traffic that does not fit, every row is refused by the same fraction")
{
    scenario fleet(3500);
    fleet.inputs.demand = {3500, 1500, 3000, 4000, 3000, 4000};
    fleet.plan.settings.shift_cap_fraction = 1;
    fleet.step();
    fleet.inputs.domain_health[0].health = domain_health::lost;
    fleet.inputs.region_load = {{0, {}}, {7000, {}}, {7000, {}}};
    fleet.step();
    const auto admitted = [&](std::size_t row) {
        const auto* weights = &fleet.state.weights.weights[row * 3];
        return std::accumulate(weights, weights + 3, 0U) / double{full_weight};
    };
    CHECK(admitted(0) == doctest::Approx(2000.0 / 5000).epsilon(0.01));
    CHECK(admitted(1) == doctest::Approx(admitted(0)).epsilon(0.01));
    CHECK(admitted(2) == 1);
}

// Guards against assigning more load to a failure domain than the decider's share of it.
TEST_CASE("demand beyond the decider's share is refused first and then admitted elsewhere")
{
    scenario fleet;
    fleet.step();
    fleet.inputs.demand[0] = 8000;
    fleet.step();
    CHECK(fleet.load(0) <= 8000);
    for (int interval = 0; interval < 20; ++interval) {
        fleet.step();
        CHECK(fleet.load(0) <= 8000);
    }
    CHECK(fleet.admitted() == doctest::Approx(18000).epsilon(0.001));
    CHECK(fleet.state.placements[0] == placement_reason::home_full);
}

// Guards against oscillation: a decider that acts on measurements that are 10 s old, without
// accounting for its own earlier shifts, shifts too much traffic away and then returns too much.
TEST_CASE("after a step in load the weights settle even if measurements are 10 s late")
{
    scenario fleet(2500);
    fleet.step();
    // Load that this decider does not steer appears in region 0. Together with its own load this is
    // 5000 + 5000 of 8000 usable.
    const double other_load = 5000;
    std::vector<double> history;
    int repeated_overloads = 0;
    bool was_over = true;
    for (int second = 0; second < 200; ++second) {
        history.push_back(fleet.load(0));
        const std::size_t visible = history.size() > 15 ? history.size() - 15 : 0;
        fleet.inputs.region_load[0].value = history[visible] + other_load;
        fleet.inputs.region_load[1].value = 5000;
        fleet.inputs.region_load[2].value = 5000;
        fleet.step(1s, 10s);
        const bool is_over = fleet.load(0) + other_load > 8000 * 1.01;
        repeated_overloads += is_over && !was_over ? 1 : 0;
        was_over = is_over;
    }
    CHECK(repeated_overloads <= 1);
    CHECK_FALSE(was_over);
    CHECK(fleet.load(0) + other_load > 0.85 * 8000);
    CHECK(fleet.admitted() == doctest::Approx(15000).epsilon(0.001));
    const double settled = fleet.load(0);
    for (int second = 0; second < 30; ++second) {
        fleet.step(1s, 10s);
    }
    CHECK(fleet.load(0) == doctest::Approx(settled).epsilon(0.01));
}

// Guards against a restarted agent that no longer knows its earlier shifts and repeats them.
TEST_CASE("a restarted decider shifts traffic only after a measurement shows the weights in force")
{
    scenario fleet;
    fleet.step();
    fleet.inputs.domain_health[0].health = domain_health::lost;
    fleet.step();
    fleet.state = restore_state(fleet.plan, fleet.state.weights, fleet.now);
    const auto before = fleet.state.weights.weights;
    CHECK(fleet.step(5s, 1s).shifted == 0);
    CHECK(fleet.state.weights.weights == before);
    CHECK(fleet.step(2s, 1s).shifted > 0);
}

// Guards against a new host that sends all its callers to a region that has just recovered.
TEST_CASE("the first decision sends only limited traffic to a failure domain that is warming up")
{
    scenario fleet(2000, 40);
    fleet.inputs.domain_health[0].healthy_since = fleet.now - 10s;
    fleet.step();
    CHECK(fleet.load(0) <= 8000 / 40.0 + 1e-6);
    CHECK(fleet.load(1) >= 4000);
}

// Guards against a new document version that resets all weights and so shifts all traffic at once.
TEST_CASE("weights are migrated to a new document version")
{
    scenario fleet;
    fleet.step();
    fleet.inputs.domain_health[0].health = domain_health::lost;
    fleet.step();
    const plan old_plan = fleet.plan;
    std::reverse(fleet.document.failure_domains.begin(), fleet.document.failure_domains.end());
    std::reverse(fleet.document.sites.begin(), fleet.document.sites.end());
    fleet.replan();
    const steering_state carried = migrate_state(old_plan, fleet.plan, fleet.state);
    for (std::size_t domain = 0; domain < 3; ++domain) {
        // Site 0 is now site 2, and failure domain d is now failure domain 2 - d.
        CHECK(carried.weights.weights[12 + domain] == fleet.state.weights.weights[2 - domain]);
    }
    SUBCASE("traffic of a removed failure domain is refused, not moved")
    {
        fleet.document.failure_domains.erase(fleet.document.failure_domains.begin());
        fleet.document.sites.erase(fleet.document.sites.begin());
        fleet.replan();
        const steering_state smaller = migrate_state(old_plan, fleet.plan, fleet.state);
        for (std::size_t row = 0; row < 4; ++row) {
            std::uint32_t total = 0;
            for (std::size_t domain = 0; domain < 2; ++domain) {
                total += smaller.weights.weights[row * 2 + domain] +
                         smaller.weights.refused[row * 2 + domain];
            }
            CHECK(total == full_weight);
        }
    }
}

// Guards against sending callers away from their own region although its load is far below its
// capacity: if only the deciders of that region receive their look-ups, equal shares leave most of
// its capacity to deciders that do not use it.
TEST_CASE("with local shares a decider keeps the callers of its own region at home")
{
    bench::fleet_shape shape;
    shape.hosts_per_domain = 3;
    const config::document document = bench::make_document(shape);
    const auto home_fraction = [](const plan& plan) {
        inputs measured;
        measured.demand.assign(12, 0);
        // Half of the usable capacity of region 0, spread over its six deciders.
        measured.demand[0] = measured.demand[2] = 0.25 * 4800 / 6;
        measured.demand_taken = base::time_point(1h);
        const auto weights =
            decide(plan, measured, {}, measured.demand_taken).state.weights.weights;
        return (weights[0] + weights[2 * 6 + 1]) / (2.0 * full_weight);
    };
    const plan equal = base::value_of(make_plan(document));
    CHECK(home_fraction(equal) < 0.7);
    std::vector<double> sums(3, 0.0);
    for (const config::host& host : document.hosts) {
        plan local = equal;
        set_local_shares(local, document, host.id, 0.7);
        for (std::size_t region = 0; region < 3; ++region) {
            sums[region] += local.regions[region].share;
        }
        if (host.failure_domain.value() == "domain-0") {
            CHECK(home_fraction(local) == 1);
        }
    }
    for (const double sum : sums) {
        CHECK(sum == doctest::Approx(1));
    }
}
