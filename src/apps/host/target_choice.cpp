#include "apps/host/target_choice.h"

#include "apps/host/target_pool.h"
#include "limits/target_limit.h"
#include "prediction/service_times.h"
#include "signals/target_rest.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <span>

namespace snipeshore::apps {

namespace {

/// Cost of one more copy of an object, in average service times, weighed against the wait at the
/// object's first target.
constexpr double copy_cost_factor = 1.5;

/// Interval in which the placement follows the load.
constexpr std::chrono::milliseconds adapt_interval{100};

/// Time constant of the average of the load that the placement follows.
constexpr double load_time_constant_s = 1.0;

/// A domain's load that was reported longer ago says nothing: hosts report it every second or two.
constexpr std::chrono::seconds domain_load_lifetime{5};

/// Objects that move to their first target although another one knows them, per request and in a
/// burst. Each move costs a slow first run, so that a new target gets its objects one by one.
constexpr double settled_per_request = 0.03;
constexpr double max_settle_tokens = 2;

/// As `load_of`; where the report is old, the target is taken to be as busy as its failure domain.
double probable_load(const target_pool& pool, const pooled_target& target, base::time_point now)
{
    const auto reported = pool.domain_loads.find(target.entry.failure_domain);
    if (reported == pool.domain_loads.end() ||
        now - reported->second.reported_at > domain_load_lifetime) {
        return load_of(target, now);
    }
    const double others = std::max(0.0, reported->second.requests_per_slot * target.entry.slots -
                                            static_cast<double>(target.running));
    return load_of(target, now) + others * (1 - report_freshness(target, now));
}

bool may_use_cold(const target_pool& pool, const pooled_target& target, const pool_view& view)
{
    return !is_cold(pool, target, view.now) ||
           (cold_tokens(pool, target, view.now) >= 1 && view.owns(target.entry.id));
}

bool is_usable(const target_pool& pool, const pooled_target& target, const pool_view& view)
{
    return !target.entry.is_leaving && !target.is_drained && !target.is_misdirected &&
           view.now >= target.ejected_until && may_use_cold(pool, target, view) &&
           limits::has_room(target.limit, view.now) &&
           signals::may_send(target.signals, target.running, view.now);
}

affinity::target_load load_for(const target_pool& pool, const pooled_target& target,
                               const prediction::request_traits& request, const pool_view& view)
{
    affinity::target_load load;
    load.usable = is_usable(pool, target, view);
    load.requests = probable_load(pool, target, view.now);
    load.slots = target.entry.slots;
    load.service_time = prediction::expected_time(pool.times, target.history, request, view.now);
    load.queue_time = prediction::average_time(pool.times, target.history, view.now);
    load.knows_object =
        prediction::recency_of(target.history, request) != prediction::recency::never;
    return load;
}

/// Returns the object's first target if the object should move there now, although another one
/// knows it: its first target may be new, or may have been away. So each target gets its part of
/// the objects, and each failure domain its own copies.
std::optional<affinity::placement>
settle(target_pool& pool, std::span<const std::uint32_t> ranked,
       const std::function<affinity::target_load(std::uint32_t)>& load)
{
    pool.settle_tokens = std::min(max_settle_tokens, pool.settle_tokens + settled_per_request);
    if (ranked.empty() || pool.settle_tokens < 1) {
        return std::nullopt;
    }
    const affinity::target_load first = load(ranked.front());
    const bool is_known_elsewhere =
        std::any_of(ranked.begin() + 1, ranked.end(),
                    [&](std::uint32_t index) { return load(index).knows_object; });
    if (first.knows_object || !is_known_elsewhere || first.requests + 1 > first.slots) {
        return std::nullopt;
    }
    pool.settle_tokens -= 1;
    return affinity::choose(ranked.first(1), load, base::duration{0});
}

} // namespace

void follow_load(target_pool& pool, const pool_view& view)
{
    const base::duration passed = view.now - pool.layout.home.adapted_at;
    if (passed < adapt_interval) {
        return;
    }
    const double weight =
        1 - std::exp(-std::chrono::duration<double>(passed).count() / load_time_constant_s);
    double domain_requests = 0;
    double domain_slots = 0;
    double region_requests = 0;
    double region_slots = 0;
    for (std::size_t index = 0; index < pool.targets.size(); ++index) {
        const affinity::placement_target& place = pool.layout.targets[index];
        if (place.region != pool.layout.own_region || !is_usable(pool, pool.targets[index], view)) {
            continue;
        }
        region_requests += probable_load(pool, pool.targets[index], view.now);
        region_slots += place.slots;
        if (place.failure_domain == pool.layout.own_domain) {
            domain_requests += load_of(pool.targets[index], view.now);
            domain_slots += place.slots;
        }
    }
    const auto smooth = [weight](double& average, double requests, double slots) {
        average += (requests / std::max(1.0, slots) - average) * weight;
    };
    smooth(pool.home_load.domain, domain_requests, domain_slots);
    smooth(pool.home_load.region, region_requests, region_slots);
    affinity::adapt_home(pool.layout.home, pool.home_load, view.now);
}

std::optional<affinity::placement>
choose_target(target_pool& pool, const prediction::request_traits& request,
              const std::vector<base::target_id>& tried,
              const std::function<bool(const base::region_id&)>& allowed,
              const std::map<base::failure_domain_id, base::region_id>& regions,
              const pool_view& view)
{
    follow_load(pool, view);
    const auto load = [&](std::uint32_t index) {
        return load_for(pool, pool.targets[index], request, view);
    };
    const auto can_serve = [&](std::uint32_t index) {
        const pooled_target& target = pool.targets[index];
        return std::find(tried.begin(), tried.end(), target.entry.id) == tried.end() &&
               allowed(regions.at(target.entry.failure_domain)) && is_usable(pool, target, view);
    };
    const auto has_room = [&](std::uint32_t index) {
        const affinity::target_load now = load(index);
        return can_serve(index) && now.requests < now.slots * affinity::max_requests_per_slot;
    };
    const auto copy_cost = std::chrono::duration_cast<base::duration>(
        prediction::average_time(pool.times, {}, view.now) * copy_cost_factor);
    const bool is_shared = request.has_object && affinity::is_shared(pool.copies, request.route,
                                                                     request.object, view.now);
    const auto ranked = affinity::rank_targets(pool.layout, request.object, is_shared, can_serve);
    if (const auto first = settle(pool, ranked, load)) {
        return first;
    }
    if (const auto own = affinity::choose(ranked, load, copy_cost)) {
        return own;
    }
    // None of the object's own targets can take the request; any other target is better than a
    // refusal.
    return affinity::choose(
        affinity::rank_targets(pool.layout, request.object, is_shared, has_room), load, copy_cost);
}

std::optional<base::duration> time_to_room(const target_pool& pool, base::time_point now)
{
    std::optional<base::duration> earliest;
    for (const pooled_target& target : pool.targets) {
        const auto returns_at = signals::return_time(target.signals, now);
        const bool is_waiting = target.limit.rate.has_value() || returns_at.has_value();
        if (target.entry.is_leaving || target.is_drained || target.is_misdirected ||
            target.signals.is_leaving || !is_waiting) {
            continue;
        }
        const auto time = limits::time_to_room(target.limit, now);
        if (!time.has_value()) {
            continue;
        }
        const base::duration wait = std::max<base::duration>(
            {*time, target.ejected_until - now, returns_at.value_or(now) - now});
        earliest = std::min(earliest.value_or(wait), wait);
    }
    return earliest;
}

} // namespace snipeshore::apps
