/// @file Compares the placement of objects with a naive choice, on models of both deployments: the
/// fraction of runs on warm targets and the credit earned.

#include "affinity/placement.h"
#include "affinity/admission.h"
#include "base/hash.h"
#include "bench/support/reporter.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace {

using namespace snipeshore;
using std::chrono::milliseconds;

/// One kind of request of a deployment at its peak rate.
struct deployment {
    std::string name;
    std::vector<unsigned>
        domain_targets; ///< Targets per failure domain; two domains per region, interleaved.
    std::uint32_t slots = 1;
    double requests_per_second = 0;
    unsigned objects = 1;
    std::size_t warm_objects = 1; ///< Number of objects that one target keeps warm.
    milliseconds cold_work{0};
    milliseconds objective{0};
    milliseconds time_limit{0};
};

constexpr double warm_fraction = 0.3; ///< Fraction of the cold work.
constexpr double late_credit = 0.2;
constexpr std::uint32_t regions = 3;
constexpr milliseconds length{60'000};
constexpr milliseconds domain_delay{8};
constexpr milliseconds region_delay{24};
constexpr std::uint32_t queue_per_slot = 3;

struct model_target {
    affinity::placement_target place;
    std::deque<unsigned> warm; ///< Most recently used first.
    std::vector<base::time_point> slot_free;
    std::vector<base::time_point> end_times; ///< End times of accepted requests.
    base::duration service_time{0};
};

struct totals {
    double credit = 0;
    std::uint64_t requests = 0;
    std::uint64_t runs = 0;
    std::uint64_t warm_runs = 0;
};

using chooser = std::function<std::optional<std::uint32_t>(std::uint32_t domain, unsigned object)>;

class fleet_model {
public:
    explicit fleet_model(const deployment& of) : m_deployment(of)
    {
        for (std::uint32_t domain = 0; domain < of.domain_targets.size(); ++domain) {
            domain_regions.push_back(domain % regions);
            for (unsigned i = 0; i < of.domain_targets[domain]; ++i) {
                model_target target;
                target.place = {base::stable_hash("t" + std::to_string(targets.size())), domain,
                                domain % regions, of.slots};
                target.slot_free.resize(of.slots);
                target.service_time = of.cold_work;
                targets.push_back(std::move(target));
            }
        }
    }

    /// Returns the number of requests at the target, after removing those that have ended.
    double load(std::uint32_t index, base::time_point now)
    {
        auto& end_times = targets[index].end_times;
        std::erase_if(end_times, [now](base::time_point end) { return end <= now; });
        return static_cast<double>(end_times.size());
    }

    /// Runs one request and returns its credit.
    double run(std::uint32_t domain, unsigned object, std::uint32_t index, base::time_point now,
               totals& sum)
    {
        model_target& target = targets[index];
        if (load(index, now) >= m_deployment.slots * (1 + queue_per_slot)) {
            return 0;
        }
        const auto position = std::find(target.warm.begin(), target.warm.end(), object);
        const bool is_warm = position != target.warm.end();
        if (is_warm) {
            target.warm.erase(position);
        }
        target.warm.push_front(object);
        if (target.warm.size() > m_deployment.warm_objects) {
            target.warm.pop_back();
        }
        const auto work = std::chrono::duration_cast<base::duration>(
            m_deployment.cold_work * (is_warm ? warm_fraction : 1.0));
        const auto slot = std::min_element(target.slot_free.begin(), target.slot_free.end());
        const base::time_point end = std::max(now, *slot) + work;
        *slot = end;
        target.end_times.push_back(end);
        target.service_time += (work - target.service_time) / 8;
        ++sum.runs;
        sum.warm_runs += is_warm ? 1 : 0;
        const bool is_region = target.place.region == domain % regions;
        const base::duration travel = target.place.failure_domain == domain ? base::duration{0}
                                      : is_region                           ? domain_delay
                                                                            : region_delay;
        const base::duration took = end - now + travel;
        return took <= m_deployment.objective    ? 1
               : took <= m_deployment.time_limit ? late_credit
                                                 : 0;
    }

    std::vector<model_target> targets;
    std::vector<std::uint32_t> domain_regions;

private:
    const deployment& m_deployment;
};

totals simulate(const deployment& of, fleet_model& fleet, base::time_point& now,
                const chooser& choose)
{
    totals sum;
    std::mt19937_64 random(20261204);
    std::exponential_distribution<double> gap(of.requests_per_second);
    const base::time_point end = now + length;
    while (now < end) {
        now +=
            std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(gap(random)));
        const auto domain = static_cast<std::uint32_t>(random() % of.domain_targets.size());
        const auto object = static_cast<unsigned>(random() % of.objects);
        ++sum.requests;
        const auto target = choose(domain, object);
        if (target.has_value()) {
            sum.credit += fleet.run(domain, object, *target, now, sum);
        }
    }
    return sum;
}

totals simulate_placement(const deployment& of)
{
    fleet_model fleet(of);
    base::time_point now{};
    std::vector<affinity::placement_target> placement_targets;
    for (const model_target& target : fleet.targets) {
        placement_targets.push_back(target.place);
    }
    std::vector<affinity::layout> layouts;
    for (std::uint32_t domain = 0; domain < of.domain_targets.size(); ++domain) {
        layouts.push_back(affinity::make_layout(placement_targets, fleet.domain_regions, domain));
    }
    return simulate(
        of, fleet, now, [&](std::uint32_t domain, unsigned object) -> std::optional<std::uint32_t> {
            const auto ranked =
                affinity::rank_targets(layouts[domain], base::stable_hash(std::to_string(object)),
                                       false, [](std::uint32_t) { return true; });
            const auto placed = affinity::choose(
                ranked,
                [&](std::uint32_t index) {
                    const base::duration time = fleet.targets[index].service_time;
                    return affinity::target_load{true, fleet.load(index, now), of.slots, time,
                                                 time};
                },
                std::chrono::duration_cast<base::duration>(of.cold_work));
            if (!placed.has_value()) {
                return std::nullopt;
            }
            affinity::admission_inputs request;
            request.wait = placed->wait;
            request.service_time = placed->finish - placed->wait;
            request.typical_time = request.service_time;
            request.objective = of.objective;
            request.time_left = of.time_limit;
            request.urgency = 0;
            return affinity::admit(request).admitted ? std::optional(placed->target) : std::nullopt;
        });
}

/// Takes the less loaded of two random targets, admits everything and ignores objects.
totals simulate_naive(const deployment& of)
{
    fleet_model fleet(of);
    base::time_point now{};
    std::mt19937_64 random(1);
    return simulate(
        of, fleet, now,
        [&](std::uint32_t /*domain*/, unsigned /*object*/) -> std::optional<std::uint32_t> {
            const auto one = static_cast<std::uint32_t>(random() % fleet.targets.size());
            const auto other = static_cast<std::uint32_t>(random() % fleet.targets.size());
            return fleet.load(one, now) <= fleet.load(other, now) ? one : other;
        });
}

} // namespace

int main()
{
    const std::vector<deployment> deployments{{"jasmin",
                                               {2, 7, 8, 2, 7, 8},
                                               3,
                                               106,
                                               48,
                                               17,
                                               milliseconds(980),
                                               milliseconds(600),
                                               milliseconds(4000)},
                                              {"guadalupe",
                                               {6, 7, 1, 6, 7, 1},
                                               6,
                                               790,
                                               197,
                                               88,
                                               milliseconds(260),
                                               milliseconds(250),
                                               milliseconds(1200)}};
    bench::reporter report;
    for (const deployment& of : deployments) {
        const totals product = simulate_placement(of);
        const totals naive = simulate_naive(of);
        const double warm = 100.0 * static_cast<double>(product.warm_runs) /
                            static_cast<double>(std::max<std::uint64_t>(product.runs, 1));
        // Without warm objects, the work exceeds the capacity of the targets on most days.
        report.at_least(of.name + "_warm_share_percent", warm, "%", 70);
        report.at_least(of.name + "_credit_ratio_vs_naive", product.credit / naive.credit, "", 1.5);
    }
    return report.exit_status();
}
