#include "steering/decide.h"
#include "steering/internal/budgets.h"

#include <algorithm>
#include <limits>
#include <string>
#include <unordered_map>

namespace snipeshore::steering {

namespace {

template <typename Entries>
auto ids_of(const Entries& entries)
{
    std::unordered_map<std::string, std::size_t> index;
    for (const auto& entry : entries) {
        index.emplace(entry.id.value(), index.size());
    }
    return index;
}

/// Per entry of the new list its index in the old one, or `missing`.
constexpr std::size_t missing = std::numeric_limits<std::size_t>::max();

template <typename Entries>
std::vector<std::size_t> match(const Entries& old_entries, const Entries& new_entries)
{
    const auto old_index = ids_of(old_entries);
    std::vector<std::size_t> result;
    for (const auto& entry : new_entries) {
        const auto found = old_index.find(entry.id.value());
        result.push_back(found == old_index.end() ? missing : found->second);
    }
    return result;
}

/// Copies a row. What belonged to a failure domain that is gone is refused at the baseline one,
/// from where it is admitted within the cap.
void copy_row(const weight_table& from, std::size_t old_row, weight_table& to, std::size_t new_row,
              const std::vector<std::size_t>& domains, std::size_t baseline)
{
    std::uint32_t total = 0;
    for (std::size_t domain = 0; domain < to.domains; ++domain) {
        const std::size_t cell = new_row * to.domains + domain;
        to.weights[cell] = 0;
        if (domains[domain] == missing) {
            continue;
        }
        const std::size_t old_cell = old_row * from.domains + domains[domain];
        to.weights[cell] = from.weights[old_cell];
        to.refused[cell] = from.refused[old_cell];
        total += to.weights[cell] + to.refused[cell];
    }
    to.refused[new_row * to.domains + baseline] += full_weight - total;
}

} // namespace

steering_state restore_state(const plan& plan, const weight_table& weights, base::time_point now)
{
    const pending_load_change unknown{now, std::numeric_limits<double>::infinity(), 0};
    steering_state state;
    state.weights = weights;
    state.regions.assign(plan.regions.size(), {unknown});
    state.links.assign(plan.links.size(), {unknown});
    state.last_shift = now;
    return state;
}

steering_state migrate_state(const plan& old_plan, const plan& new_plan,
                             const steering_state& state)
{
    const std::vector<std::size_t> sites = match(old_plan.sites, new_plan.sites);
    const std::vector<std::size_t> services = match(old_plan.services, new_plan.services);
    const std::vector<std::size_t> domains = match(old_plan.domains, new_plan.domains);
    const std::vector<std::size_t> regions = match(old_plan.regions, new_plan.regions);
    steering_state result;
    result.last_shift = state.last_shift;
    result.weights = internal::baseline_weights(new_plan);
    const std::size_t old_rows = old_plan.sites.size() * old_plan.services.size();
    if (state.weights.weights.size() != old_rows * old_plan.domains.size()) {
        return {};
    }
    for (std::size_t site = 0; site < sites.size(); ++site) {
        for (std::size_t service = 0; service < services.size(); ++service) {
            const std::size_t row = site * services.size() + service;
            const bool known = sites[site] != missing && services[service] != missing;
            const std::size_t old_row = sites[site] * old_plan.services.size() + services[service];
            result.demand.push_back(known && old_row < state.demand.size() ? state.demand[old_row]
                                                                           : 0);
            if (known) {
                copy_row(state.weights, old_row, result.weights, row, domains,
                         internal::baseline_domain(new_plan, site, service));
            }
        }
    }
    for (const std::size_t region : regions) {
        result.regions.push_back(region < state.regions.size()
                                     ? state.regions[region]
                                     : std::vector<pending_load_change>{});
    }
    for (const plan_link& link : new_plan.links) {
        std::vector<pending_load_change> changes;
        for (std::size_t old = 0; old < old_plan.links.size() && old < state.links.size(); ++old) {
            if (old_plan.links[old].from == regions[link.from] &&
                old_plan.links[old].to == regions[link.to]) {
                changes = state.links[old];
            }
        }
        result.links.push_back(std::move(changes));
    }
    return result;
}

double moved_fraction(const weight_table& before, const weight_table& after, std::size_t row)
{
    const std::size_t first = row * before.domains;
    const auto placed = [first](const weight_table& table, std::size_t domain) {
        return static_cast<double>(table.weights[first + domain] + table.refused[first + domain]);
    };
    double moved = 0;
    for (std::size_t domain = 0; domain < before.domains; ++domain) {
        const std::uint32_t weight = after.weights[first + domain];
        const double old_placed = placed(before, domain);
        const double new_placed = placed(after, domain);
        if (weight == 0) {
            continue;
        }
        moved += weight / static_cast<double>(full_weight);
        if (old_placed == 0) {
            continue;
        }
        // Chance that the domain has the first arrival before and after, when every arrival is an
        // exponential variable divided by the weight.
        double rivals = 0;
        for (std::size_t other = 0; other < before.domains; ++other) {
            rivals +=
                std::max(placed(before, other) / old_placed, placed(after, other) / new_placed);
        }
        const double admitted = std::min(before.weights[first + domain] / old_placed,
                                         after.weights[first + domain] / new_placed);
        moved -= admitted / rivals;
    }
    return std::max(0.0, moved);
}

std::size_t memory_of(const steering_state& state)
{
    const auto bytes = [](const auto& list) {
        return list.capacity() * sizeof(list[0]);
    };
    std::size_t total = sizeof(state) + bytes(state.weights.domain_keys) +
                        bytes(state.weights.weights) + bytes(state.weights.refused) +
                        bytes(state.demand) + bytes(state.placements) + bytes(state.waits) +
                        bytes(state.regions) + bytes(state.links);
    for (const auto& changes : state.regions) {
        total += bytes(changes);
    }
    for (const auto& changes : state.links) {
        total += bytes(changes);
    }
    return total;
}

std::string_view to_string(placement_reason reason)
{
    switch (reason) {
    case placement_reason::at_home:
        return "at_home";
    case placement_reason::home_lost:
        return "home_lost";
    case placement_reason::home_draining:
        return "home_draining";
    case placement_reason::home_full:
        return "home_full";
    case placement_reason::home_not_serving:
        return "home_not_serving";
    case placement_reason::returning_home:
        return "returning_home";
    }
    return "unknown";
}

std::string_view to_string(wait_reason reason)
{
    switch (reason) {
    case wait_reason::none:
        return "none";
    case wait_reason::shift_cap:
        return "shift_cap";
    case wait_reason::interval:
        return "interval";
    case wait_reason::receiver_lost:
        return "receiver_lost";
    case wait_reason::receiver_full:
        return "receiver_full";
    case wait_reason::receiver_warming:
        return "receiver_warming";
    case wait_reason::link_full:
        return "link_full";
    case wait_reason::measurement_missing:
        return "measurement_missing";
    case wait_reason::demand_missing:
        return "demand_missing";
    }
    return "unknown";
}

std::string_view to_string(record_kind kind)
{
    switch (kind) {
    case record_kind::shifted:
        return "shifted";
    case record_kind::shed:
        return "shed";
    case record_kind::waiting:
        return "waiting";
    }
    return "unknown";
}

} // namespace snipeshore::steering
