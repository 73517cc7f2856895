#include "apps/host/target_pool.h"

#include "base/hash.h"
#include "limits/target_limit.h"
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

/// Longer than any copy from which the store is restored is old.
constexpr std::chrono::minutes missing_retention{10};

/// Burst of requests that a cold target may receive.
constexpr double cold_burst = 2;

/// Size of the heads of a request and its response.
constexpr double head_bytes = 700;

double seconds_between(base::time_point from, base::time_point to)
{
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

double ejected_fraction(const target_pool& pool, base::time_point now)
{
    const auto ejected =
        std::count_if(pool.targets.begin(), pool.targets.end(),
                      [now](const pooled_target& target) { return now < target.ejected_until; });
    return static_cast<double>(ejected) /
           static_cast<double>(std::max<std::size_t>(pool.targets.size(), 1));
}

void apply_entry(pooled_target& target, const target_entry& entry, base::time_point now)
{
    const bool is_new =
        target.entry.started_ms != entry.started_ms || target.entry.address != entry.address;
    if (is_new) {
        const bool is_same_start =
            target.entry.id == entry.id && target.entry.started_ms == entry.started_ms;
        const signals::target_signals said =
            is_same_start ? target.signals : signals::target_signals{};
        target = pooled_target{};
        target.signals = said;
    }
    target.entry = entry;
    if (entry.cold_for.count() > 0) {
        target.cold_until = std::max(target.cold_until, now + entry.cold_for);
    }
}

void keep_signals(target_pool& pool, const pooled_target& target, base::time_point now)
{
    if (target.signals.is_leaving || target.signals.rests_until.has_value()) {
        pool.missing[target.entry.id] = {target.entry.started_ms, target.signals,
                                         now + missing_retention};
    }
}

void restore_signals(target_pool& pool, pooled_target& target)
{
    const auto known = pool.missing.find(target.entry.id);
    if (known == pool.missing.end()) {
        return;
    }
    if (known->second.started_ms == target.entry.started_ms) {
        target.signals = known->second.signals;
    }
    pool.missing.erase(known);
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

double report_freshness(const pooled_target& target, base::time_point now)
{
    return std::exp(-seconds_between(target.reported_at, now) / report_decay_s);
}

double load_of(const pooled_target& target, base::time_point now)
{
    const double others =
        std::max(0.0, target.reported_load - static_cast<double>(target.running_at_report));
    return static_cast<double>(target.running) + others * report_freshness(target, now);
}

double cold_tokens(const target_pool& pool, const pooled_target& target, base::time_point now)
{
    return std::min(cold_burst, target.cold_tokens +
                                    pool.cold_rate * seconds_between(target.cold_refilled, now));
}

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
    std::erase_if(pool.missing, [now](const auto& one) { return now >= one.second.forget_at; });
    for (const target_entry& entry : entries) {
        if (!regions.contains(entry.failure_domain)) {
            continue;
        }
        const auto known = old.find(entry.id);
        pool.targets.push_back(known == old.end() ? pooled_target{} : std::move(known->second));
        apply_entry(pool.targets.back(), entry, now);
        restore_signals(pool, pool.targets.back());
        old.erase(entry.id);
        pool.targets.back().is_drained = is_drained(entry.failure_domain);
    }
    for (const auto& [id, target] : old) {
        keep_signals(pool, target, now);
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

sent_request on_sent(target_pool& pool, pooled_target& target,
                     const prediction::request_traits& request, base::duration predicted_wait,
                     base::time_point now)
{
    sent_request sent{request, prediction::recency_of(target.history, request), predicted_wait,
                      load_of(target, now) + 1 <= target.entry.slots};
    prediction::record_run(target.history, request);
    ++target.running;
    limits::take_token(target.limit, now);
    if (is_cold(pool, target, now)) {
        target.cold_tokens = cold_tokens(pool, target, now) - 1;
        target.cold_refilled = now;
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
    target.maybe_cold_until =
        std::max(target.maybe_cold_until, target.ejected_until + pool.cold_time);
}

void forget_failures(target_pool& pool)
{
    for (pooled_target& target : pool.targets) {
        target.failures_in_row = 0;
        target.failure_fraction = 0;
        target.ejected_until = {};
        target.maybe_cold_until = {};
    }
}

bool is_cold(const target_pool& pool, const pooled_target& target, base::time_point now)
{
    return pool.cold_rate > 0 && now < std::max(target.cold_until, target.maybe_cold_until);
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
