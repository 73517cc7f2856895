#include "apps/agent/steering_runner.h"
#include "config/parse.h"
#include "config/tests/deployments.h"
#include "steering/types/weight_table.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace snipeshore;
using namespace snipeshore::apps;
using namespace std::chrono_literals;

namespace {

/// A runner with the inputs that an agent provides; every host has a live entry.
struct runner_fixture {
    runner_fixture()
    {
        document =
            std::get<config::document>(config::parse(config::source_file("config/jasmin.json")));
        for (const config::host& host : document.hosts) {
            inner::host_record record;
            record.host = host.id;
            record.failure_domain = host.failure_domain;
            record.entry_incarnation = base::incarnation(1);
            members.push_back(record);
        }
        for (const auto& domain : document.failure_domains) {
            reachable.insert(domain.id);
        }
        home = document.sites.front().nearest;
        runner.set_document(document);
    }

    /// Ticks ten times per second and reports once per second. Returns how often weights changed.
    int run(base::duration time)
    {
        int changes = 0;
        for (const auto end = now + time; now < end;) {
            if (rate && now >= next_report) {
                next_report = now + 1s;
                inner::process_report report;
                report.demand = {{document.sites.front().id.value(),
                                  document.services.front().id.value(), *rate}};
                report.weights = reported_weights;
                runner.on_report(report, foreign, now);
            }
            changes += runner.tick(members, reachable, drains, now) ? 1 : 0;
            now += 100ms;
        }
        return changes;
    }

    /// Sum of the admitted or refused weights of the first row at the failure domains that match.
    template <typename Matches>
    std::uint32_t sum(const std::vector<std::uint32_t> inner::site_weights::*field,
                      Matches matches) const
    {
        const auto& row = runner.weights().front();
        std::uint32_t total = 0;
        for (std::size_t index = 0; index < row.failure_domains.size(); ++index) {
            total += matches(row.failure_domains[index]) ? (row.*field)[index] : 0;
        }
        return total;
    }

    std::uint32_t home_weight() const
    {
        return sum(&inner::site_weights::weights,
                   [&](const auto& id) { return id == home.value(); });
    }

    base::region_id region_of(const base::failure_domain_id& domain) const
    {
        const auto found =
            std::find_if(document.failure_domains.begin(), document.failure_domains.end(),
                         [&](const auto& candidate) { return candidate.id == domain; });
        return found->region;
    }

    std::uint32_t home_region_weight() const
    {
        return sum(&inner::site_weights::weights, [&](const auto& id) {
            return region_of(base::failure_domain_id(id)) == region_of(home);
        });
    }

    std::uint32_t admitted() const
    {
        return sum(&inner::site_weights::weights, [](const auto&) { return true; });
    }

    std::uint32_t refused() const
    {
        return sum(&inner::site_weights::refused, [](const auto&) { return true; });
    }

    void stop_entries(bool stopped)
    {
        for (auto& record : members) {
            if (record.failure_domain == home) {
                record.entry_incarnation = base::incarnation(stopped ? 0 : 1);
            }
        }
    }

    config::document document;
    config::drains_document drains;
    std::vector<inner::host_record> members;
    std::set<base::failure_domain_id> reachable;
    base::failure_domain_id home;
    steering_runner runner;
    base::time_point now{1h};
    base::time_point next_report{};
    std::optional<double> rate = 20;
    bool foreign = false;
    std::vector<inner::site_weights> reported_weights;
};

} // namespace

// Guards against new revisions without a change, which make every lookup rebuild its weights.
TEST_CASE("weights are published only when they change")
{
    runner_fixture fleet;
    CHECK(fleet.run(1s) == 1);
    CHECK(fleet.runner.weights().size() ==
          fleet.document.sites.size() * fleet.document.services.size());
    CHECK(fleet.home_weight() == steering::full_weight);
    CHECK(fleet.run(30s) == 0);

    SUBCASE("another version of the document without a change to steering")
    {
        fleet.document.keys.refuse_after += 1s;
        fleet.runner.set_document(fleet.document);
        CHECK(fleet.run(5s) == 0);
    }
    SUBCASE("a new site")
    {
        auto site = fleet.document.sites.front();
        site.id = base::site_id("new-site");
        fleet.document.sites.push_back(site);
        fleet.runner.set_document(fleet.document);
        CHECK(fleet.run(5s) == 1);
        CHECK(fleet.runner.weights().size() ==
              fleet.document.sites.size() * fleet.document.services.size());
        CHECK(fleet.home_weight() == steering::full_weight);
    }
}

// Guards against an agent that refuses all traffic because it has not received member records yet.
TEST_CASE("failure domains are not lost before member records have arrived")
{
    runner_fixture fleet;
    const auto all = fleet.members;
    fleet.members.resize(1);
    CHECK(fleet.run(2s) == 0);
    CHECK(fleet.runner.weights().empty());

    SUBCASE("member records arrive")
    {
        fleet.members = all;
        fleet.stop_entries(true);
        CHECK(fleet.run(500ms) == 1);
        CHECK(fleet.home_weight() == steering::full_weight);
    }
    SUBCASE("no member records arrive within the grace period")
    {
        fleet.reachable.clear();
        fleet.run(5s);
        REQUIRE_FALSE(fleet.runner.weights().empty());
        CHECK(fleet.admitted() == 0);
    }
}

// Guards against callers that are sent to a failure domain that cannot serve them, against shifts
// beyond the cap, and against traffic that stays refused after the cause has ended.
TEST_CASE("a lost failure domain")
{
    runner_fixture fleet;
    fleet.run(5s);
    REQUIRE(fleet.home_weight() == steering::full_weight);

    SUBCASE("its entries stop")
    {
        fleet.stop_entries(true);
    }
    SUBCASE("it is unreachable")
    {
        fleet.reachable.erase(fleet.home);
    }

    fleet.run(fleet.document.steering.interval);
    CHECK(fleet.home_weight() == 0);
    const double cap = fleet.document.steering.shift_cap_fraction * steering::full_weight;
    CHECK(fleet.admitted() <= cap + 1);
    CHECK(fleet.refused() >= steering::full_weight - cap - 1);
    const auto records = fleet.runner.records();
    CHECK(std::any_of(records.begin(), records.end(), [](const auto& record) {
        return record.placement == steering::placement_reason::home_lost;
    }));

    fleet.run(120s);
    CHECK(fleet.home_weight() == 0);
    CHECK(fleet.admitted() == steering::full_weight);
    // The other failure domain of the region has spare capacity, and it is the nearest.
    CHECK(fleet.home_region_weight() == steering::full_weight);

    fleet.stop_entries(false);
    fleet.reachable.insert(fleet.home);
    fleet.run(240s);
    CHECK(fleet.home_weight() == steering::full_weight);
}

// Guards against assignments above the decider's share of a region.
TEST_CASE("demand above the decider's share of the region is refused")
{
    runner_fixture fleet;
    double usable = 0;
    for (const auto& domain : fleet.runner.plan()->domains) {
        usable += domain.id == fleet.home ? domain.usable : 0;
    }
    const double share = usable / static_cast<double>(fleet.document.hosts.size());
    fleet.rate = 4 * share;
    fleet.run(20s);
    CHECK(*fleet.rate * fleet.home_weight() / steering::full_weight <= share * 1.001);
    CHECK(fleet.refused() > 0);
}

// Guards against a single noisy report that shifts traffic.
TEST_CASE("demand is smoothed")
{
    runner_fixture fleet;
    fleet.run(10s);
    const auto before = fleet.runner.weights();
    const double share = fleet.runner.plan()->domains.front().usable /
                         static_cast<double>(fleet.document.hosts.size());
    fleet.now += 1ms;
    inner::process_report noisy;
    noisy.demand = {{fleet.document.sites.front().id.value(),
                     fleet.document.services.front().id.value(), 2 * share}};
    fleet.runner.on_report(noisy, false, fleet.now);
    fleet.run(2s);
    CHECK(fleet.runner.weights() == before);
}

// Guards against shifts based on a demand that is no longer reported.
TEST_CASE("no traffic is shifted without reports")
{
    runner_fixture fleet;
    fleet.run(5s);
    fleet.rate.reset();
    fleet.run(fleet.document.steering.stale_after + 1s);
    fleet.stop_entries(true);
    fleet.run(30s);
    CHECK(fleet.admitted() == 0);
    const auto records = fleet.runner.records();
    CHECK(std::any_of(records.begin(), records.end(), [](const auto& record) {
        return record.wait == steering::wait_reason::demand_missing;
    }));
}

// Guards against a planned drain that refuses requests that other failure domains could serve.
TEST_CASE("traffic leaves a drained failure domain within the shift cap")
{
    runner_fixture fleet;
    fleet.run(5s);

    SUBCASE("the failure domain is drained itself")
    {
        fleet.drains.drains.push_back({config::drain_kind::failure_domain, fleet.home.value(), {}});
    }
    SUBCASE("all of its hosts are drained")
    {
        for (const config::host& host : fleet.document.hosts) {
            if (host.failure_domain == fleet.home) {
                fleet.drains.drains.push_back({config::drain_kind::host, host.id.value(), {}});
            }
        }
    }
    fleet.run(fleet.document.steering.interval);
    CHECK(fleet.refused() == 0);
    CHECK(fleet.home_weight() > steering::full_weight * 9 / 10);
    CHECK(fleet.home_weight() < steering::full_weight);
    fleet.run(120s);
    CHECK(fleet.home_weight() == 0);
    CHECK(fleet.refused() == 0);
    fleet.drains.drains.clear();
    fleet.run(240s);
    CHECK(fleet.home_weight() == steering::full_weight);
}

// Guards against a planned drain of a region that only moves traffic to its other failure domains.
TEST_CASE("traffic leaves a drained region")
{
    runner_fixture fleet;
    fleet.run(5s);
    REQUIRE(fleet.home_region_weight() == steering::full_weight);
    fleet.drains.drains.push_back(
        {config::drain_kind::region, fleet.region_of(fleet.home).value(), {}});
    fleet.run(240s);
    CHECK(fleet.home_region_weight() == 0);
    CHECK(fleet.admitted() == steering::full_weight);
}

// Guards against an agent that never decides again after it was restarted while its lookup kept
// running, and against a shift beyond the cap by its first decision.
TEST_CASE("an agent that starts while a lookup is running continues from the lookup's weights")
{
    runner_fixture fleet;
    fleet.run(2s);
    const auto baseline = fleet.runner.weights();
    REQUIRE(fleet.home_weight() == steering::full_weight);

    runner_fixture restarted;
    restarted.stop_entries(true);
    restarted.foreign = true;
    restarted.reported_weights = baseline;
    CHECK(restarted.run(1s) >= 1);
    CHECK_FALSE(restarted.runner.is_held());
    // Within the grace period no failure domain is treated as lost yet.
    CHECK(restarted.home_weight() == steering::full_weight);
    restarted.foreign = false;
    restarted.reported_weights.clear();
    restarted.run(4s);
    CHECK(restarted.home_weight() == 0);
    const double cap = restarted.document.steering.shift_cap_fraction * steering::full_weight;
    CHECK(restarted.admitted() <= 4 * cap);
    restarted.run(120s);
    CHECK(restarted.admitted() == steering::full_weight);
}

// Guards against an uncapped shift by an agent that starts while a lookup uses other weights.
TEST_CASE("a lookup keeps the weights of an earlier run of the agent until it restarts")
{
    runner_fixture fleet;
    fleet.foreign = true;
    CHECK(fleet.run(30s) == 0);
    CHECK(fleet.runner.is_held());
    fleet.foreign = false;
    CHECK(fleet.run(2s) == 1);
}
