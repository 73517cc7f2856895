#include "bench/steering_model.h"

#include "base/result.h"
#include "steering/lookup.h"
#include "steering/plan.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <deque>
#include <random>
#include <string>

namespace snipeshore::bench {

namespace {

using namespace std::chrono_literals;
using steering::full_weight;

constexpr double tolerance = 1e-6; ///< Relative tolerance for sums of rounded numbers.

enum class fault : std::uint8_t {
    measurements_stop,
    measurements_zero,
    partition,
    pause,
    restart,
    replace,
    domain_lost,
    region_lost,
    surge,
    demand_unknown,
    count,
};

struct scheduled_fault {
    fault kind = fault::pause;
    int begin = 0;
    int end = 0;
    std::size_t element = 0;    ///< Index of the failure domain, region or site.
    std::vector<bool> affected; ///< Whether each decider is affected.
    double factor = 1;
};

struct model_decider {
    std::size_t domain = 0;
    steering::steering_state state;
    int detection_delay = 0;
    int measurement_delay = 0;
    std::deque<steering::weight_table>
        recent_weights; ///< Weights of the last seconds, newest last.
};

struct fleet {
    config::document document;
    steering::plan plan;
    std::vector<model_decider> deciders;
    std::vector<scheduled_fault> faults;
    std::vector<std::vector<double>> region_history; ///< True load of the regions, per second.
    std::vector<std::vector<double>> link_history;
    std::vector<double> base_demand; ///< Demand of one decider, per row.
    std::vector<steering::planned_drain> drains;
    std::mt19937_64 random;
};

base::time_point at_second(int second)
{
    return base::time_point(1h + std::chrono::seconds(second));
}

double uniform(fleet& fleet, double low, double high)
{
    return std::uniform_real_distribution<double>(low, high)(fleet.random);
}

int pick(fleet& fleet, int low, int high)
{
    return std::uniform_int_distribution<int>(low, high)(fleet.random);
}

bool is_active(const scheduled_fault& entry, int second)
{
    return second >= entry.begin && second < entry.end;
}

bool is_affected(const fleet& fleet, fault kind, std::size_t decider, int second)
{
    return std::any_of(fleet.faults.begin(), fleet.faults.end(), [&](const auto& entry) {
        return entry.kind == kind && is_active(entry, second) && entry.affected[decider];
    });
}

bool is_failed(const fleet& fleet, std::size_t domain, int second)
{
    return std::any_of(fleet.faults.begin(), fleet.faults.end(), [&](const auto& entry) {
        if (!is_active(entry, second)) {
            return false;
        }
        return (entry.kind == fault::domain_lost && entry.element == domain) ||
               (entry.kind == fault::region_lost &&
                entry.element == fleet.plan.domains[domain].region);
    });
}

fleet make_fleet(std::uint64_t seed, int seconds)
{
    fleet result;
    result.random.seed(seed);
    fleet_shape shape;
    shape.regions = static_cast<std::size_t>(pick(result, 2, 4));
    shape.domains_per_region = static_cast<std::size_t>(pick(result, 1, 3));
    shape.link_bits = static_cast<std::uint64_t>(pick(result, 100, 2000)) * 1'000'000ULL;
    result.document = make_document(shape);
    result.document.steering.shift_cap_fraction = uniform(result, 0.02, 0.2);
    result.plan = base::value_of(steering::make_plan(result.document));
    const std::size_t count = result.plan.deciders;
    for (std::size_t index = 0; index < count; ++index) {
        model_decider decider;
        decider.domain = index / shape.hosts_per_domain;
        decider.detection_delay = pick(result, 0, 6);
        decider.measurement_delay = pick(result, 1, 12);
        result.deciders.push_back(std::move(decider));
    }
    const std::size_t rows = result.plan.sites.size() * result.plan.services.size();
    const double utilization = uniform(result, 0.3, 1.1);
    const double total =
        shape.region_capacity * static_cast<double>(shape.regions) * 0.8 * utilization;
    for (std::size_t row = 0; row < rows; ++row) {
        result.base_demand.push_back(total / static_cast<double>(rows * count) *
                                     uniform(result, 0.5, 1.5));
    }
    const int faults = pick(result, 3, 10);
    for (int index = 0; index < faults; ++index) {
        scheduled_fault entry;
        entry.kind = static_cast<fault>(pick(result, 0, static_cast<int>(fault::count) - 1));
        entry.begin = pick(result, 5, seconds - 5);
        entry.end = entry.begin + pick(result, 1, 40);
        const std::size_t element_count = entry.kind == fault::region_lost
                                              ? result.plan.regions.size()
                                          : entry.kind == fault::surge ? result.plan.sites.size()
                                                                       : result.plan.domains.size();
        entry.element =
            static_cast<std::size_t>(pick(result, 0, static_cast<int>(element_count) - 1));
        entry.factor = uniform(result, 1.2, 3.0);
        const double probability = uniform(result, 0.1, 1.0);
        for (std::size_t decider = 0; decider < count; ++decider) {
            entry.affected.push_back(uniform(result, 0, 1) < probability);
        }
        result.faults.push_back(std::move(entry));
    }
    if (pick(result, 0, 1) == 1) {
        const auto domain = static_cast<std::uint16_t>(
            pick(result, 0, static_cast<int>(result.plan.domains.size()) - 1));
        result.drains.push_back({domain, at_second(pick(result, 30, seconds))});
    }
    return result;
}

std::vector<double> demand_at(fleet& fleet, int second)
{
    std::vector<double> demand = fleet.base_demand;
    for (std::size_t row = 0; row < demand.size(); ++row) {
        const std::size_t site = row / fleet.plan.services.size();
        for (const scheduled_fault& entry : fleet.faults) {
            if (entry.kind == fault::surge && entry.element == site && is_active(entry, second)) {
                // Demand rises over 10 s, as callers arrive.
                demand[row] *=
                    1 + (entry.factor - 1) * std::min(1.0, (second - entry.begin) / 10.0);
            }
        }
        demand[row] *= uniform(fleet, 0.97, 1.03);
    }
    return demand;
}

steering::inputs view_of(fleet& fleet, std::size_t index, int second,
                         const std::vector<double>& demand)
{
    const model_decider& decider = fleet.deciders[index];
    steering::inputs inputs;
    const bool is_isolated = is_affected(fleet, fault::partition, index, second);
    if (!is_affected(fleet, fault::demand_unknown, index, second)) {
        inputs.demand = demand;
        inputs.demand_taken = at_second(second);
    }
    int measured_second = second - decider.measurement_delay;
    if (is_isolated || is_affected(fleet, fault::measurements_stop, index, second)) {
        // The last value before the fault remains in use and gets older every second.
        while (measured_second >= 0 &&
               (is_affected(fleet, fault::partition, index, measured_second) ||
                is_affected(fleet, fault::measurements_stop, index, measured_second))) {
            --measured_second;
        }
    }
    const bool is_wrong = is_affected(fleet, fault::measurements_zero, index, second);
    if (measured_second >= 0) {
        for (const double load : fleet.region_history[static_cast<std::size_t>(measured_second)]) {
            inputs.region_load.push_back({is_wrong ? 0.0 : load, at_second(measured_second)});
        }
        for (const double bits : fleet.link_history[static_cast<std::size_t>(measured_second)]) {
            inputs.link_bits.push_back({is_wrong ? 0.0 : bits, at_second(measured_second)});
        }
    }
    for (std::size_t domain = 0; domain < fleet.plan.domains.size(); ++domain) {
        const int seen = std::max(0, second - decider.detection_delay);
        const bool lost =
            is_failed(fleet, domain, seen) ||
            (is_isolated &&
             fleet.plan.domains[domain].region != fleet.plan.domains[decider.domain].region &&
             index % 2 == 0);
        inputs.domain_health.push_back(
            {lost ? steering::domain_health::lost : steering::domain_health::healthy,
             at_second(is_isolated ? std::max(0, measured_second) : seen), std::nullopt});
    }
    if (!is_isolated) {
        inputs.drains = fleet.drains;
    }
    return inputs;
}

/// Naive shift without cap or limits: each row goes to the first failure domain that looks healthy.
steering::steering_state shift_all(const steering::plan& plan, const steering::inputs& inputs)
{
    steering::steering_state state;
    state.weights = steering::make_weight_table(plan);
    state.demand = inputs.demand;
    state.demand.resize(plan.sites.size() * plan.services.size(), 0.0);
    for (std::size_t row = 0; row < state.demand.size(); ++row) {
        for (const std::uint16_t domain : plan.sites[row / plan.services.size()].preference) {
            if (inputs.domain_health[domain].health == steering::domain_health::healthy) {
                state.weights.weights[row * plan.domains.size() + domain] = full_weight;
                break;
            }
        }
    }
    return state;
}

struct assigned_load {
    std::vector<double> domains;
    std::vector<double> regions;
    std::vector<double> links;
};

void add_assigned(const steering::plan& plan, const steering::weight_table& weights,
                  const std::vector<double>& demand, double fraction, assigned_load& sum)
{
    const steering::request_size size;
    const std::size_t domains = plan.domains.size();
    sum.domains.resize(domains);
    sum.regions.resize(plan.regions.size());
    sum.links.resize(plan.links.size());
    for (std::size_t cell = 0; cell < weights.weights.size(); ++cell) {
        const std::size_t row = cell / domains;
        const double rate = fraction * demand[row] * weights.weights[cell] / full_weight;
        const std::size_t home = plan.domains[plan.sites[row / plan.services.size()].home].region;
        const std::size_t region = plan.domains[cell % domains].region;
        sum.domains[cell % domains] += rate;
        sum.regions[region] += rate;
        for (std::size_t link = 0; link < plan.links.size() && home != region; ++link) {
            if (plan.links[link].from == home && plan.links[link].to == region) {
                sum.links[link] += rate * size.bits_to_target;
            }
            if (plan.links[link].from == region && plan.links[link].to == home) {
                sum.links[link] += rate * size.bits_from_target;
            }
        }
    }
}

/// Returns the load that callers cause now. They cache a look-up response for the cache time, so
/// the weights of the last seconds apply in equal fractions.
assigned_load true_load(const fleet& fleet, const std::vector<std::vector<double>>& demand)
{
    assigned_load sum;
    for (std::size_t index = 0; index < fleet.deciders.size(); ++index) {
        const auto& recent_weights = fleet.deciders[index].recent_weights;
        for (const auto& weights : recent_weights) {
            add_assigned(fleet.plan, weights, demand[index],
                         1.0 / static_cast<double>(recent_weights.size()), sum);
        }
    }
    sum.regions.resize(fleet.plan.regions.size());
    sum.links.resize(fleet.plan.links.size());
    return sum;
}

/// Returns the requests per second that are now admitted where they were not before. Uses the
/// larger of the change of weights and the fraction of blocks that the look-up's hashing moves.
double moved_traffic(const steering::weight_table& before, const steering::weight_table& after,
                     const std::vector<double>& demand)
{
    double moved = 0;
    for (std::size_t row = 0; row < demand.size(); ++row) {
        double increase = 0;
        for (std::size_t domain = 0; domain < before.domains; ++domain) {
            const std::size_t cell = row * before.domains + domain;
            increase += std::max(0.0, static_cast<double>(after.weights[cell]) -
                                          static_cast<double>(before.weights[cell]));
        }
        moved += demand[row] *
                 std::max(increase / full_weight, steering::moved_fraction(before, after, row));
    }
    return moved;
}

/// Returns the traffic that the decision moved.
double decide_once(const steering::plan& plan, const steering::inputs& inputs,
                   model_decider& decider, base::time_point now, shift_method method)
{
    const steering::weight_table before = decider.state.weights;
    decider.state = method == shift_method::decider
                        ? steering::decide(plan, inputs, decider.state, now).state
                        : shift_all(plan, inputs);
    return before.weights.empty()
               ? 0
               : moved_traffic(before, decider.state.weights, decider.state.demand);
}

std::uint64_t count_above_limit(const std::vector<double>& sum, const std::vector<double>& limit)
{
    std::uint64_t count = 0;
    for (std::size_t index = 0; index < sum.size(); ++index) {
        count += sum[index] > limit[index] * (1 + tolerance) + tolerance ? 1 : 0;
    }
    return count;
}

void check_assigned(const fleet& fleet, schedule_result& result)
{
    assigned_load sum;
    for (const model_decider& decider : fleet.deciders) {
        if (!decider.state.demand.empty()) {
            add_assigned(fleet.plan, decider.state.weights, decider.state.demand, 1, sum);
        }
    }
    std::vector<double> domains;
    std::vector<double> regions;
    std::vector<double> links;
    for (const auto& domain : fleet.plan.domains) {
        domains.push_back(domain.usable);
    }
    for (const auto& region : fleet.plan.regions) {
        regions.push_back(region.usable);
    }
    for (const auto& link : fleet.plan.links) {
        links.push_back(link.usable_bits);
    }
    if (count_above_limit(sum.regions, regions) + count_above_limit(sum.domains, domains) > 0) {
        ++result.region_overload_violations;
    }
    if (count_above_limit(sum.links, links) > 0) {
        ++result.link_violations;
    }
}

} // namespace

config::document make_document(const fleet_shape& shape)
{
    config::document document;
    document.deployment = "model";
    for (std::size_t region = 0; region < shape.regions; ++region) {
        document.regions.push_back({base::region_id("region-" + std::to_string(region)),
                                    base::request_rate(shape.region_capacity)});
        for (std::size_t other = 0; other < shape.regions; ++other) {
            if (other != region) {
                config::link link;
                link.from = base::region_id("region-" + std::to_string(region));
                link.to = base::region_id("region-" + std::to_string(other));
                link.capacity = base::bit_rate(shape.link_bits);
                link.delay = std::chrono::microseconds(
                    12000 + 1000 * ((other + shape.regions - region) % shape.regions));
                document.links.push_back(link);
            }
        }
        for (std::size_t index = 0; index < shape.domains_per_region; ++index) {
            document.failure_domains.push_back(
                {base::failure_domain_id("domain-" +
                                         std::to_string(document.failure_domains.size())),
                 document.regions.back().id});
        }
    }
    for (const config::failure_domain& domain : document.failure_domains) {
        for (std::size_t host = 0; host < shape.hosts_per_domain; ++host) {
            document.hosts.push_back(
                {base::host_id(domain.id.value() + "-host-" + std::to_string(host)), domain.id});
        }
    }
    for (std::size_t index = 0; index < shape.services; ++index) {
        config::service service;
        service.id = base::service_id("service-" + std::to_string(index));
        service.capacity_per_target = base::request_rate(100);
        for (const config::failure_domain& domain : document.failure_domains) {
            config::target target;
            target.id = base::target_id(service.id.value() + "-" + domain.id.value());
            target.failure_domain = domain.id;
            service.targets.push_back(target);
        }
        document.services.push_back(std::move(service));
    }
    for (std::size_t site = 0; site < shape.sites; ++site) {
        document.sites.push_back(
            {base::site_id("site-" + std::to_string(site)),
             document.failure_domains[site % document.failure_domains.size()].id});
    }
    return document;
}

schedule_result run_schedule(std::uint64_t seed, int seconds, shift_method method)
{
    fleet fleet = make_fleet(seed, seconds);
    const steering::plan& plan = fleet.plan;
    const auto cache = static_cast<std::size_t>(plan.settings.lookup_cache.count());
    schedule_result result;
    double demand_sum = 0;
    double admitted_sum = 0;
    for (int second = 0; second < seconds; ++second) {
        std::vector<std::vector<double>> demand;
        double moved = 0;
        for (std::size_t index = 0; index < fleet.deciders.size(); ++index) {
            demand.push_back(demand_at(fleet, second));
            model_decider& decider = fleet.deciders[index];
            if (is_affected(fleet, fault::pause, index, second)) {
                continue;
            }
            const steering::inputs inputs = view_of(fleet, index, second, demand.back());
            const base::time_point now = at_second(second);
            const bool replaced = is_affected(fleet, fault::replace, index, second) &&
                                  !is_affected(fleet, fault::replace, index, second - 1);
            if (replaced) {
                decider.state = {};
            }
            if (is_affected(fleet, fault::restart, index, second) &&
                !is_affected(fleet, fault::restart, index, second - 1) && second > 0) {
                decider.state = steering::restore_state(plan, decider.state.weights, now);
            }
            moved += decide_once(plan, inputs, decider, now, method);
            ++result.decisions;
            // Membership and document changes cause additional decisions between the regular ones.
            if (pick(fleet, 0, 9) == 0) {
                moved += decide_once(plan, inputs, decider, now + 300ms, method);
                ++result.decisions;
            }
        }
        double known_demand = 0;
        for (std::size_t index = 0; index < fleet.deciders.size(); ++index) {
            model_decider& decider = fleet.deciders[index];
            for (const double row : decider.state.demand) {
                known_demand += row;
            }
            if (!decider.state.weights.weights.empty()) {
                decider.recent_weights.push_back(decider.state.weights);
            }
            if (decider.recent_weights.size() > std::max<std::size_t>(1, cache)) {
                decider.recent_weights.pop_front();
            }
        }
        // Regular decisions are one second apart, so each second is one interval.
        if (moved > plan.settings.shift_cap_fraction * known_demand * (1 + tolerance)) {
            ++result.shift_cap_violations;
        }
        check_assigned(fleet, result);
        const assigned_load load = true_load(fleet, demand);
        for (std::size_t region = 0; region < plan.regions.size(); ++region) {
            result.worst_true_load = std::max(result.worst_true_load,
                                              load.regions[region] / plan.regions[region].capacity);
            admitted_sum += load.regions[region];
        }
        for (const auto& rows : demand) {
            for (const double row : rows) {
                demand_sum += row;
            }
        }
        fleet.region_history.push_back(load.regions);
        fleet.link_history.push_back(load.links);
    }
    result.refused_fraction = demand_sum > 0 ? 1 - admitted_sum / demand_sum : 0;
    return result;
}

} // namespace snipeshore::bench
