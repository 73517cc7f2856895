#include "apps/host/target_pool.h"

#include "base/hash.h"
#include "prediction/service_times.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <unordered_map>
#include <utility>

namespace snipeshore::apps {

namespace {

/// Weight of a new sample in the moving average of failures, which covers about the last ten
/// responses.
constexpr double sample_weight = 0.15;

/// A report of more requests per slot than a target queues is taken for this much.
constexpr double max_reported_per_slot = 8;

/// Time constant with which the weight of a reported load decays: a few service times.
constexpr double report_decay_s = 0.6;

/// Average fraction of failed attempts at which a target is ejected.
constexpr double ejection_failure_fraction = 0.35;

/// Fraction of a service's targets that may be ejected because they fail some requests.
constexpr double max_ejected_fraction = 0.25;

constexpr std::chrono::milliseconds initial_ejection_time{700};

/// The ejection time doubles with each failure in a row up to this number.
constexpr unsigned max_ejection_steps = 4;

/// Cost of one more copy of an object, in average service times, weighed against the wait at the
/// object's first target.
constexpr double copy_cost_factor = 1.5;

/// Size of the heads of a request and its response.
constexpr double head_bytes = 700;

/// Weight of the current load in the average that the placement follows.
constexpr double load_weight = 0.1;

/// A domain's load that was reported longer ago says nothing: hosts report it every second or two.
constexpr std::chrono::seconds domain_load_lifetime{5};

/// Objects that move to their first target although another one knows them, per request and in a
/// burst. Each move costs a slow first run, so that a new target gets its objects one by one.
constexpr double settled_per_request = 0.03;
constexpr double max_settle_tokens = 2;

/// Burst of requests that a cold target may receive.
constexpr double cold_burst = 2;

double seconds_between(base::time_point from, base::time_point to)
{
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

double freshness_of(const pooled_target& target, base::time_point now)
{
    return std::exp(-seconds_between(target.reported_at, now) / report_decay_s);
}

/// Requests at the target: this host's own, and those of others as the target reported lately.
double load_of(const pooled_target& target, base::time_point now)
{
    const double others =
        std::max(0.0, target.reported_load - static_cast<double>(target.running_at_report));
    return static_cast<double>(target.running) + others * freshness_of(target, now);
}

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
    return load_of(target, now) + others * (1 - freshness_of(target, now));
}

double ejected_fraction(const target_pool& pool, base::time_point now)
{
    const auto ejected =
        std::count_if(pool.targets.begin(), pool.targets.end(),
                      [now](const pooled_target& target) { return now < target.ejected_until; });
    return static_cast<double>(ejected) /
           static_cast<double>(std::max<std::size_t>(pool.targets.size(), 1));
}

bool may_use_cold(const target_pool& pool, const pooled_target& target, const pool_view& view)
{
    if (view.now >= target.cold_until || pool.cold_rate <= 0) {
        return true;
    }
    const double tokens =
        std::min(cold_burst, target.cold_tokens +
                                 pool.cold_rate * seconds_between(target.cold_refilled, view.now));
    return tokens >= 1 && view.owns(target.entry.id);
}

bool is_usable(const target_pool& pool, const pooled_target& target, const pool_view& view)
{
    return !target.entry.is_leaving && !target.is_drained && !target.is_misdirected &&
           view.now >= target.ejected_until && may_use_cold(pool, target, view);
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

/// Interval in which the placement follows the load.
constexpr std::chrono::milliseconds adapt_interval{100};

void follow_load(target_pool& pool, const pool_view& view)
{
    if (view.now < pool.layout.home.adapted_at + adapt_interval) {
        return;
    }
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
    // Smoothed over about a second.
    const auto smooth = [](double& average, double requests, double slots) {
        average += (requests / std::max(1.0, slots) - average) * load_weight;
    };
    smooth(pool.home_load.domain, domain_requests, domain_slots);
    smooth(pool.home_load.region, region_requests, region_slots);
    affinity::adapt_home(pool.layout.home, pool.home_load, view.now);
}

void apply_entry(pooled_target& target, const target_entry& entry, base::time_point now)
{
    const bool is_new =
        target.entry.started_ms != entry.started_ms || target.entry.address != entry.address;
    if (is_new) {
        target = pooled_target{};
    }
    target.entry = entry;
    if (entry.cold_for.count() > 0) {
        target.cold_until = std::max(target.cold_until, now + entry.cold_for);
    }
}

void rebuild_layout(target_pool& pool,
                    const std::map<base::failure_domain_id, base::region_id>& regions,
                    const base::failure_domain_id& own_domain)
{
    std::map<base::failure_domain_id, std::uint32_t> domain_index;
    std::map<base::region_id, std::uint32_t> region_index;
    std::vector<std::uint32_t> domain_regions;
    for (const auto& [domain, region] : regions) {
        domain_index.emplace(domain, static_cast<std::uint32_t>(domain_index.size()));
        const auto [entry, is_new] =
            region_index.emplace(region, static_cast<std::uint32_t>(region_index.size()));
        domain_regions.push_back(entry->second);
    }
    std::vector<affinity::placement_target> layout_targets;
    for (const pooled_target& target : pool.targets) {
        const std::uint32_t domain = domain_index[target.entry.failure_domain];
        const bool may_serve = !target.entry.is_leaving && !target.is_drained;
        layout_targets.push_back({base::stable_hash(target.entry.id.value()), domain,
                                  domain_regions[domain], may_serve ? target.entry.slots : 0});
    }
    const affinity::home_share home = pool.layout.home;
    pool.layout =
        affinity::make_layout(std::move(layout_targets), domain_regions, domain_index[own_domain]);
    pool.layout.home = home;
}

} // namespace

void set_targets(target_pool& pool, const std::vector<target_entry>& entries,
                 const std::function<bool(const base::failure_domain_id&)>& is_drained,
                 const std::map<base::failure_domain_id, base::region_id>& regions,
                 const base::failure_domain_id& own_domain, base::time_point now)
{
    std::unordered_map<base::target_id, pooled_target> old;
    for (pooled_target& target : pool.targets) {
        old.emplace(target.entry.id, std::move(target));
    }
    pool.targets.clear();
    for (const target_entry& entry : entries) {
        if (!regions.contains(entry.failure_domain)) {
            continue;
        }
        const auto known = old.find(entry.id);
        pool.targets.push_back(known == old.end() ? pooled_target{} : std::move(known->second));
        apply_entry(pool.targets.back(), entry, now);
        pool.targets.back().is_drained = is_drained(entry.failure_domain);
    }
    rebuild_layout(pool, regions, own_domain);
}

pooled_target* find_target(target_pool& pool, const base::target_id& id)
{
    const auto found =
        std::find_if(pool.targets.begin(), pool.targets.end(),
                     [&](const pooled_target& target) { return target.entry.id == id; });
    return found == pool.targets.end() ? nullptr : &*found;
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
    const auto own = affinity::choose(ranked, load, copy_cost);
    pool.settle_tokens = std::min(max_settle_tokens, pool.settle_tokens + settled_per_request);
    if (own.has_value() && own->target != ranked.front() && pool.settle_tokens >= 1) {
        // The object is known elsewhere, for example since its first target is new or was away.
        const affinity::target_load first = load(ranked.front());
        if (!first.knows_object && first.requests + 1 <= first.slots) {
            pool.settle_tokens -= 1;
            return affinity::choose(std::span(ranked).first(1), load, copy_cost);
        }
    }
    if (own.has_value()) {
        return own;
    }
    // None of the object's own targets can take the request; any other target is better than a
    // refusal.
    return affinity::choose(
        affinity::rank_targets(pool.layout, request.object, is_shared, has_room), load, copy_cost);
}

sent_request on_sent(target_pool& pool, pooled_target& target,
                     const prediction::request_traits& request, base::duration predicted_wait,
                     base::time_point now)
{
    sent_request sent{request, prediction::recency_of(target.history, request), predicted_wait,
                      load_of(target, now) + 1 <= target.entry.slots};
    prediction::record_run(target.history, request);
    ++target.running;
    if (now < target.cold_until && pool.cold_rate > 0) {
        target.cold_tokens =
            std::min(cold_burst, target.cold_tokens +
                                     pool.cold_rate * seconds_between(target.cold_refilled, now));
        target.cold_refilled = now;
        target.cold_tokens -= 1;
    }
    return sent;
}

void on_ended(target_pool& pool, pooled_target& target, const sent_request& sent,
              std::optional<base::duration> took, base::time_point now)
{
    if (target.running > 0) {
        --target.running;
    }
    if (!took.has_value()) {
        return;
    }
    // The report that came with the response tells of requests that this host did not see.
    const bool had_free_slot =
        sent.had_free_slot && load_of(target, now) < std::max<std::uint32_t>(target.entry.slots, 1);
    prediction::record_time(pool.times, target.history,
                            {sent.traits, sent.known, sent.predicted_wait, *took, had_free_slot},
                            now);
}

void on_transferred(target_pool& pool, const pooled_target& target, const sent_request& sent,
                    std::size_t body_bytes, base::time_point now)
{
    if (!sent.traits.has_object) {
        return;
    }
    const auto index = static_cast<std::size_t>(&target - pool.targets.data());
    const affinity::placement_target& place = pool.layout.targets[index];
    const bool has_crossed =
        place.region == pool.layout.own_region && place.failure_domain != pool.layout.own_domain;
    affinity::record_transfer(pool.copies, sent.traits.route, sent.traits.object,
                              static_cast<double>(body_bytes) + head_bytes, has_crossed, now);
}

void on_not_run(pooled_target& target, const sent_request& sent)
{
    if (sent.known == prediction::recency::never) {
        prediction::forget_run(target.history, sent.traits);
    }
}

bool on_failure(const target_pool& pool, pooled_target& target, bool is_hard, base::time_point now)
{
    ++target.failures_in_row;
    target.failure_fraction += (1 - target.failure_fraction) * sample_weight;
    const bool is_repeated = target.failures_in_row >= 2 && is_hard;
    if (!is_repeated && target.failure_fraction < ejection_failure_fraction) {
        return false;
    }
    if (!is_hard && ejected_fraction(pool, now) >= max_ejected_fraction) {
        return false;
    }
    const unsigned steps = std::min(target.failures_in_row, max_ejection_steps);
    target.ejected_until = now + initial_ejection_time * (1U << (steps == 0 ? 0U : steps - 1));
    target.failure_fraction = 0;
    return true;
}

void on_unreachable(const target_pool& pool, pooled_target& target)
{
    target.cold_until = std::max(target.cold_until, target.ejected_until + pool.cold_time);
}

void on_success(pooled_target& target)
{
    target.failures_in_row = 0;
    target.failure_fraction -= target.failure_fraction * sample_weight;
}

bool apply_load_report(pooled_target& target, std::string_view text, base::time_point now)
{
    std::array<std::uint32_t, 3> values{};
    const char* at = text.data();
    const char* const end = text.data() + text.size();
    for (std::uint32_t& value : values) {
        const auto [next, failure] = std::from_chars(at, end, value);
        if (failure != std::errc()) {
            return false;
        }
        at = next == end ? next : next + 1;
    }
    const double reported = static_cast<double>(values[0]) + static_cast<double>(values[1]);
    target.reported_load = std::min(reported, target.entry.slots * max_reported_per_slot);
    target.running_at_report = target.running;
    target.reported_at = now;
    return true;
}

void on_rejected(pooled_target& target, base::time_point now)
{
    target.reported_load = std::max(target.reported_load, target.entry.slots * 4.0);
    target.running_at_report = target.running;
    target.reported_at = now;
}

} // namespace snipeshore::apps
