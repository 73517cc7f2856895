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

/// One decider that owns everything; three regions of one failure domain, 8000 requests per second
/// usable in each; one site at home in each; two services.
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

    /// Decides once with measurements taken `age` ago.
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

// Guards against steering that moves callers for no reason.
TEST_CASE("while all is well every caller stays at its nearest failure domain")
{
    scenario fleet;
    fleet.step();
    const decision second = fleet.step();
    CHECK(second.shifted == 0);
    CHECK(second.records.empty());
    CHECK(fleet.load(0) == doctest::Approx(4000));
    CHECK(fleet.state.placements[0] == placement_reason::at_home);
}

// Guards against an emergency that floods receivers with cold caches, and against one that ends
// never.
TEST_CASE("a lost region is refused at once and admitted elsewhere at the pace of the cap")
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

    SUBCASE("it returns when the region is healthy again")
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

// Guards against two decisions in quick succession that use the cap twice in one interval.
TEST_CASE("two decisions that shift are an interval apart")
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

// Guards against old measurements that are read as "idle".
TEST_CASE("old measurements reduce what is shifted")
{
    scenario fleet(3000);
    fleet.plan.settings.shift_cap_fraction = 1;
    fleet.step();
    fleet.inputs.domain_health[0].health = domain_health::lost;
    SUBCASE("fresh: the whole headroom of both receivers")
    {
        CHECK(fleet.step().shifted == doctest::Approx(4000).epsilon(0.01));
    }
    SUBCASE("half as old again as allowed: half of it")
    {
        CHECK(fleet.step(1s, 22500ms).shifted == doctest::Approx(2000).epsilon(0.01));
    }
    SUBCASE("twice the age or missing: nothing")
    {
        CHECK(fleet.step(1s, 30s).shifted == 0);
        CHECK(fleet.state.waits[0] == wait_reason::measurement_missing);
        fleet.inputs.region_load.clear();
        CHECK(fleet.step().shifted == 0);
    }
    SUBCASE("from the future or not a number: nothing")
    {
        CHECK(fleet.step(1s, -1s).shifted == 0);
        fleet.inputs.region_load.assign(3, measurement{});
        CHECK(fleet.step().shifted == 0);
    }
    SUBCASE("unknown health of the receivers: nothing")
    {
        fleet.inputs.domain_health[1].health = domain_health::unknown;
        fleet.inputs.domain_health[2].health = domain_health::unknown;
        CHECK(fleet.step().shifted == 0);
    }
    SUBCASE("unknown own demand: nothing")
    {
        fleet.inputs.demand.assign(6, -1);
        CHECK(fleet.step().shifted == 0);
        CHECK(fleet.state.waits[0] == wait_reason::demand_missing);
    }
}

// Guards against the same measured headroom being used again before a measurement shows the shift.
TEST_CASE("shifts that measurements cannot show yet count against the headroom")
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

// Guards against cold caches that get more than they can warm.
TEST_CASE("a shift is no faster than the receivers warm up")
{
    scenario fleet(2000, 40);
    fleet.plan.settings.shift_cap_fraction = 1;
    fleet.step();
    fleet.inputs.domain_health[0].health = domain_health::lost;
    CHECK(fleet.step().shifted == doctest::Approx(2 * 8000 / 40.0).epsilon(0.01));
    CHECK(fleet.state.waits[0] == wait_reason::receiver_warming);
}

// Guards against links between regions that are filled by shifted traffic.
TEST_CASE("links between regions keep their headroom")
{
    scenario fleet(2000, 0, 50e6);
    fleet.plan.settings.shift_cap_fraction = 1;
    fleet.step();
    fleet.inputs.domain_health[0].health = domain_health::lost;
    SUBCASE("an idle link takes its usable part")
    {
        // 40 Mbit/s usable per link, 131,072 bits per answer.
        CHECK(fleet.step().shifted == doctest::Approx(2 * 40e6 / 131072).epsilon(0.01));
        CHECK(fleet.state.waits[0] == wait_reason::link_full);
    }
    SUBCASE("a link that others use takes less")
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

// Guards against a drain that interrupts callers because it began too late.
TEST_CASE("a planned drain is empty in time and refuses nobody")
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

// Guards against refusals that hit the callers of one service or site more than others.
TEST_CASE("what does not fit is refused by the same fraction")
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

// Guards against demand over a failure domain's part that is assigned to it all the same.
TEST_CASE("a surge beyond the own part is refused first and then admitted elsewhere")
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

// Guards against oscillation: a decider that acts on measurements 10 s old without counting what
// it has already done overshoots, then returns too much.
TEST_CASE("with measurements 10 s late a step in load settles")
{
    scenario fleet(2500);
    fleet.step();
    // Load that this decider does not steer appears in region 0: 5000 + 5000 of 8000 usable.
    const double other_load = 5000;
    std::vector<double> history;
    int crossings_back = 0;
    bool was_over = true;
    for (int second = 0; second < 200; ++second) {
        history.push_back(fleet.load(0));
        const std::size_t visible = history.size() > 15 ? history.size() - 15 : 0;
        fleet.inputs.region_load[0].value = history[visible] + other_load;
        fleet.inputs.region_load[1].value = 5000;
        fleet.inputs.region_load[2].value = 5000;
        fleet.step(1s, 10s);
        const bool is_over = fleet.load(0) + other_load > 8000 * 1.01;
        crossings_back += is_over && !was_over ? 1 : 0;
        was_over = is_over;
    }
    CHECK(crossings_back <= 1);
    CHECK_FALSE(was_over);
    CHECK(fleet.load(0) + other_load > 0.85 * 8000);
    CHECK(fleet.admitted() == doctest::Approx(15000).epsilon(0.001));
    const double settled = fleet.load(0);
    for (int second = 0; second < 30; ++second) {
        fleet.step(1s, 10s);
    }
    CHECK(fleet.load(0) == doctest::Approx(settled).epsilon(0.01));
}

// Guards against a restarted agent that forgets its shifts and makes them again.
TEST_CASE("a decider that finds weights in force shifts only after a newer measurement")
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

// Guards against a new host that sends all its callers to a region that has just come back.
TEST_CASE("a decider that starts gives a failure domain that is warming up nothing at once")
{
    scenario fleet(2000, 40);
    fleet.inputs.domain_health[0].healthy_since = fleet.now - 10s;
    fleet.step();
    CHECK(fleet.load(0) <= 8000 / 40.0 + 1e-6);
    CHECK(fleet.load(1) >= 4000);
}

// Guards against a new document version that resets all weights and so shifts everything at once.
TEST_CASE("weights are carried over to a new document version")
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
        // Site 0 is now site 2, failure domain d is now 2 - d.
        CHECK(carried.weights.weights[12 + domain] == fleet.state.weights.weights[2 - domain]);
    }
    SUBCASE("traffic of a failure domain that is gone is refused, not moved")
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

// Guards against callers that are sent away from their own region, far below its capacity, because
// only the deciders of that region are asked for them.
TEST_CASE("with local parts a decider keeps the callers of its own region at home")
{
    bench::fleet_shape shape;
    shape.hosts_per_domain = 3;
    const config::document document = bench::make_document(shape);
    const auto own_load = [](const plan& plan) {
        inputs view;
        view.demand.assign(12, 0);
        // Half of the usable capacity of region 0, spread over its six deciders.
        view.demand[0] = view.demand[2] = 0.25 * 4800 / 6;
        view.demand_taken = base::time_point(1h);
        const auto weights = decide(plan, view, {}, view.demand_taken).state.weights.weights;
        return (weights[0] + weights[2 * 6 + 1]) / (2.0 * full_weight);
    };
    const plan equal = base::value_of(make_plan(document));
    CHECK(own_load(equal) < 0.7);
    std::vector<double> sums(3, 0.0);
    for (const config::host& host : document.hosts) {
        plan local = equal;
        set_local_shares(local, document, host.id, 0.7);
        for (std::size_t region = 0; region < 3; ++region) {
            sums[region] += local.regions[region].share;
        }
        if (host.failure_domain.value() == "domain-0") {
            CHECK(own_load(local) == 1);
        }
    }
    for (const double sum : sums) {
        CHECK(sum == doctest::Approx(1));
    }
}
