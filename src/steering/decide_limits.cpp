#include "steering/decide.h"
#include "steering/internal/budgets.h"
#include "steering/lookup.h"

#include <algorithm>
#include <cmath>

namespace snipeshore::steering::internal {

namespace {

bool is_valid(double value)
{
    return std::isfinite(value) && value >= 0;
}

/// Unknown load counts as the last known load plus what may have been added since: from
/// `stale_after` on it rises towards the usable capacity, and is unknown at twice that age.
void apply_measurement(shared_limit& limit, const std::vector<measurement>& measurements,
                       std::size_t index, base::duration stale_after, base::time_point now)
{
    if (index >= measurements.size()) {
        return;
    }
    const measurement& measured = measurements[index];
    const base::duration age = now - measured.taken;
    if (!is_valid(measured.value) || age.count() < 0 || age >= 2 * stale_after) {
        return;
    }
    const double excess_age = std::chrono::duration<double>(age - stale_after).count();
    const double growth = std::max(
        0.0, excess_age / std::max(1e-9, std::chrono::duration<double>(stale_after).count()));
    limit.load = measured.value + std::max(0.0, limit.usable - measured.value) * growth;
    limit.known = true;
}

void apply_unseen(shared_limit& limit, const std::vector<std::vector<pending_load_change>>& changes,
                  std::size_t index, base::duration lookup_cache, base::time_point now)
{
    if (index >= changes.size()) {
        return;
    }
    for (const pending_load_change& change : changes[index]) {
        limit.added += change.added;
        limit.removed += change.removed;
        if (now < change.at + lookup_cache) {
            limit.lingering += change.removed;
        }
    }
}

domain_view view_of(const std::vector<health_measurement>& health, std::size_t domain,
                    base::duration stale_after, base::time_point now)
{
    domain_view view;
    const health_measurement known = domain < health.size() ? health[domain] : health_measurement{};
    const base::duration age = now - known.taken;
    if (known.health == domain_health::lost) {
        view.must_leave = true;
        view.no_receive = wait_reason::receiver_lost;
    } else if (known.health == domain_health::unknown || age.count() < 0 || age > stale_after) {
        view.no_receive = wait_reason::measurement_missing;
    }
    return view;
}

void apply_drains(std::vector<domain_view>& views, const plan& plan, const inputs& inputs,
                  base::time_point now)
{
    const base::duration lead = drain_lead_time(plan);
    for (const planned_drain& drain : inputs.drains) {
        if (drain.domain >= views.size() || now < drain.empty_by - lead) {
            continue;
        }
        domain_view& view = views[drain.domain];
        view.draining = true;
        view.must_leave = view.must_leave || now >= drain.empty_by;
        view.no_receive = wait_reason::receiver_lost;
    }
}

/// The smaller of the cap on this decider's own traffic and an equal part of the cap on the fleet's
/// usable capacity. The sum of the former over deciders is the cap on the fleet's traffic; the
/// latter bounds the shift when the own measurement of demand is far too high.
double shift_cap(const plan& plan, const steering_state& state)
{
    const double fraction = std::clamp(plan.settings.shift_cap_fraction, 0.0, 1.0);
    double own = 0;
    for (const double demand : state.demand) {
        own += demand;
    }
    double usable = 0;
    for (const plan_region& region : plan.regions) {
        usable += region.usable;
    }
    return fraction * std::min(own, usable / std::max(1U, plan.deciders));
}

request_size size_of(const inputs& inputs, std::size_t service)
{
    const request_size fallback;
    if (service >= inputs.request_sizes.size()) {
        return fallback;
    }
    const request_size& size = inputs.request_sizes[service];
    return {is_valid(size.bits_to_target) ? size.bits_to_target : fallback.bits_to_target,
            is_valid(size.bits_from_target) ? size.bits_from_target : fallback.bits_from_target};
}

} // namespace

budgets make_budgets(const plan& plan, const inputs& inputs, const steering_state& state,
                     base::time_point now)
{
    const base::duration stale_after = plan.settings.stale_after;
    budgets result;
    result.shift = shift_cap(plan, state);
    const double interval = std::chrono::duration<double>(plan.settings.interval).count();
    for (std::size_t index = 0; index < plan.regions.size(); ++index) {
        const plan_region& region = plan.regions[index];
        shared_limit limit;
        limit.usable = region.usable;
        limit.fraction = std::clamp(region.share, 0.0, 1.0);
        limit.part = limit.usable * limit.fraction;
        apply_measurement(limit, inputs.region_load, index, stale_after, now);
        apply_unseen(limit, state.regions, index, plan.settings.lookup_cache, now);
        result.regions.push_back(limit);
    }
    for (std::size_t index = 0; index < plan.links.size(); ++index) {
        shared_limit limit;
        limit.usable = plan.links[index].usable_bits;
        limit.fraction = 1.0 / std::max(1U, plan.deciders);
        limit.part = limit.usable * limit.fraction;
        apply_measurement(limit, inputs.link_bits, index, stale_after, now);
        apply_unseen(limit, state.links, index, plan.settings.lookup_cache, now);
        result.links.push_back(limit);
    }
    for (std::size_t index = 0; index < plan.domains.size(); ++index) {
        const plan_domain& domain = plan.domains[index];
        result.views.push_back(view_of(inputs.domain_health, index, stale_after, now));
        result.domain_part.push_back(domain.usable * result.regions[domain.region].fraction);
        result.warming.push_back(result.domain_part.back() * interval);
    }
    result.domain_used.assign(plan.domains.size(), 0.0);
    apply_drains(result.views, plan, inputs, now);
    count_use(plan, inputs, state, result);
    return result;
}

link_use links_between(const plan& plan, const inputs& inputs, std::size_t site,
                       std::size_t service, std::size_t domain)
{
    const std::size_t regions = plan.regions.size();
    const std::size_t home = plan.domains[plan.sites[site].home].region;
    const std::size_t other = plan.domains[domain].region;
    link_use use;
    if (home == other) {
        return use;
    }
    use.ahead = plan.link_of[home * regions + other];
    use.back = plan.link_of[other * regions + home];
    use.possible = use.ahead >= 0 && use.back >= 0;
    const request_size size = size_of(inputs, service);
    use.ahead_bits = size.bits_to_target;
    use.back_bits = size.bits_from_target;
    return use;
}

double warm_cost(const plan& plan, std::size_t service)
{
    return std::chrono::duration<double>(plan.services[service].warm_up).count();
}

void count_use(const plan& plan, const inputs& inputs, const steering_state& state,
               budgets& budgets)
{
    std::fill(budgets.domain_used.begin(), budgets.domain_used.end(), 0.0);
    for (shared_limit& region : budgets.regions) {
        region.used = 0;
    }
    for (shared_limit& link : budgets.links) {
        link.used = 0;
    }
    const std::size_t services = plan.services.size();
    const std::size_t domains = plan.domains.size();
    for (std::size_t cell = 0; cell < state.weights.weights.size(); ++cell) {
        if (state.weights.weights[cell] == 0) {
            continue;
        }
        const std::size_t row = cell / domains;
        const std::size_t domain = cell % domains;
        const double rate = state.demand[row] * state.weights.weights[cell] / full_weight;
        budgets.domain_used[domain] += rate;
        budgets.regions[plan.domains[domain].region].used += rate;
        const link_use use = links_between(plan, inputs, row / services, row % services, domain);
        if (use.ahead >= 0) {
            budgets.links[static_cast<std::size_t>(use.ahead)].used += rate * use.ahead_bits;
        }
        if (use.back >= 0) {
            budgets.links[static_cast<std::size_t>(use.back)].used += rate * use.back_bits;
        }
    }
}

double room(const shared_limit& limit, double level)
{
    const double own = level * limit.part - limit.used - limit.lingering;
    const double shared =
        limit.known ? (level * limit.usable - limit.load) * limit.fraction - limit.added : 0;
    return std::min(own, shared);
}

void note_change(std::vector<pending_load_change>& changes, const pending_load_change& change)
{
    changes.push_back(change);
    if (changes.size() > max_pending_load_changes) {
        changes[1].added += changes[0].added;
        changes[1].removed += changes[0].removed;
        changes.erase(changes.begin());
    }
}

void forget_seen(std::vector<pending_load_change>& changes, base::time_point taken,
                 base::duration visible_after)
{
    std::erase_if(changes, [&](const pending_load_change& change) {
        return change.at + visible_after <= taken;
    });
}

std::uint16_t baseline_domain(const plan& plan, std::size_t site, std::size_t service)
{
    for (const std::uint16_t domain : plan.sites[site].preference) {
        if (plan.services[service].served_in[domain]) {
            return domain;
        }
    }
    return plan.sites[site].home;
}

weight_table baseline_weights(const plan& plan)
{
    weight_table table = make_weight_table(plan);
    const std::size_t services = plan.services.size();
    for (std::size_t row = 0; row < plan.sites.size() * services; ++row) {
        const std::uint16_t domain = baseline_domain(plan, row / services, row % services);
        table.weights[row * table.domains + domain] = full_weight;
    }
    return table;
}

} // namespace snipeshore::steering::internal

namespace snipeshore::steering {

namespace {

/// Bound of the time by which a drain starts early when the shift cap is tiny.
constexpr base::duration max_drain_lead_time = std::chrono::hours(1);

} // namespace

base::duration drain_lead_time(const plan& plan)
{
    std::chrono::milliseconds warm_up{0};
    for (const plan_service& service : plan.services) {
        warm_up = std::max(warm_up, service.warm_up);
    }
    const double intervals = 2 / std::max(1e-6, plan.settings.shift_cap_fraction);
    const std::chrono::duration<double> shifts = plan.settings.interval * intervals;
    const std::chrono::duration<double> lead = shifts + warm_up + plan.settings.lookup_cache;
    return std::chrono::duration_cast<base::duration>(
        std::min<std::chrono::duration<double>>(lead, max_drain_lead_time));
}

} // namespace snipeshore::steering
