#include "affinity/placement.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace snipeshore::affinity {

namespace {

/// Scales the fraction of its own objects that a failure domain serves, which is its capacity
/// relative to the average failure domain. With 1.6, small domains keep more than they can serve,
/// and more requests are refused than bytes are saved.
constexpr double local_load_factor = 1.0;

/// Lower bound of the fraction of a target's slots that is available to objects of other regions.
constexpr double min_spare_fraction = 0.05;

/// Requests per slot above which objects leave, and below which they return.
constexpr double busy_load = 0.85;
constexpr double idle_load = 0.5;

/// Fraction of the objects that leaves or returns in a second. Faster moves would make too many
/// targets run objects for the first time at once.
constexpr double leave_domain_per_s = 0.25;
constexpr double leave_region_per_s = 0.06;
constexpr double return_per_s = 0.02;
constexpr double min_home_share = 0.1;

constexpr std::uint64_t position_salt = 0x9e3779b97f4a7c15ULL;

/// Finalizer of SplitMix64.
std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

/// Maps a hash to a number between 0 and 1 that is never 0.
double to_unit_interval(std::uint64_t value)
{
    constexpr double steps = 9007199254740992.0; // 2^53
    return (static_cast<double>(value >> 11U) + 0.5) / steps;
}

struct scored_target {
    int tier = 0;
    double score = 0;
    std::uint32_t index = 0;

    bool operator<(const scored_target& other) const
    {
        return std::pair(tier, score) < std::pair(other.tier, other.score);
    }
};

/// First tier of targets for an object: 0 is the own failure domain, 1 the own region, 2 all
/// targets.
int first_tier(const layout& service_layout, std::uint64_t object, bool is_shared)
{
    const double position = to_unit_interval(mix(object ^ position_salt));
    const double region = service_layout.region_fraction * service_layout.home.region;
    const double domain = service_layout.domain_fraction * service_layout.home.domain;
    if (position < std::min(domain, region)) {
        return is_shared ? 1 : 0;
    }
    return position < region ? 1 : 2;
}

int tier_of(const layout& service_layout, const placement_target& target, int first)
{
    const bool is_own_domain = target.failure_domain == service_layout.own_domain;
    const bool is_own_region = target.region == service_layout.own_region;
    if (first == 0 && is_own_domain) {
        return 0;
    }
    return first <= 1 && is_own_region ? 1 : 2;
}

} // namespace

layout make_layout(std::vector<placement_target> targets,
                   std::span<const std::uint32_t> domain_regions, std::uint32_t own_domain)
{
    layout result;
    result.own_domain = own_domain;
    result.own_region = domain_regions[own_domain];
    std::vector<double> domain_slots(domain_regions.size());
    double total = 0;
    double region_slots = 0;
    for (const placement_target& target : targets) {
        domain_slots[target.failure_domain] += target.slots;
        total += target.slots;
        region_slots += target.region == result.own_region ? target.slots : 0;
    }
    const double average_slots = total / static_cast<double>(domain_regions.size());
    const auto region_domains = static_cast<double>(
        std::count(domain_regions.begin(), domain_regions.end(), result.own_region));
    if (total > 0) {
        result.domain_fraction =
            std::min(1.0, local_load_factor * domain_slots[own_domain] / average_slots);
        result.region_fraction =
            std::min(1.0, local_load_factor * region_slots / (average_slots * region_domains));
    }
    // The region's other failure domains keep the same objects; what the region cannot serve leaves
    // it from all of them, or else the largest would get the objects of those without targets.
    result.domain_fraction = std::min(result.domain_fraction, result.region_fraction);
    for (const placement_target& target : targets) {
        const double slots = std::max(1.0, domain_slots[target.failure_domain]);
        const double spare = std::max(min_spare_fraction, 1.0 - average_slots / slots);
        result.weights.push_back(spare * target.slots);
    }
    result.targets = std::move(targets);
    return result;
}

void adapt_home(home_share& home, const home_load& load, base::time_point now)
{
    const double passed_s =
        std::min(1.0, std::chrono::duration<double>(now - home.adapted_at).count());
    home.adapted_at = now;
    const auto adapt = [passed_s](double& share, double requests_per_slot, double leave_per_s) {
        if (requests_per_slot > busy_load) {
            share -= leave_per_s * passed_s;
        } else if (requests_per_slot < idle_load) {
            share += return_per_s * passed_s;
        }
        share = std::clamp(share, min_home_share, 1.0);
    };
    adapt(home.domain, load.domain, leave_domain_per_s);
    adapt(home.region, load.region, leave_region_per_s);
}

std::vector<std::uint32_t> rank_targets(const layout& service_layout, std::uint64_t object,
                                        bool is_shared,
                                        const std::function<bool(std::uint32_t)>& allowed)
{
    const int first = first_tier(service_layout, object, is_shared);
    std::vector<scored_target> all;
    all.reserve(service_layout.targets.size());
    for (std::uint32_t index = 0; index < service_layout.targets.size(); ++index) {
        if (!allowed(index)) {
            continue;
        }
        const placement_target& target = service_layout.targets[index];
        const int tier = tier_of(service_layout, target, first);
        const double weight = tier == 2 ? service_layout.weights[index] : target.slots;
        all.push_back(
            {tier, -std::log(to_unit_interval(mix(object ^ target.hash))) / weight, index});
    }
    const std::size_t count = std::min(max_ranked_targets, all.size());
    std::partial_sort(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(count), all.end());
    std::vector<std::uint32_t> ranked;
    for (std::size_t i = 0; i < count; ++i) {
        ranked.push_back(all[i].index);
    }
    return ranked;
}

std::optional<placement> choose(std::span<const std::uint32_t> ranked,
                                const std::function<target_load(std::uint32_t)>& load_of,
                                base::duration move_penalty)
{
    std::optional<placement> best;
    base::duration best_cost{0};
    std::uint32_t rank = 0;
    for (const std::uint32_t index : ranked) {
        const target_load load = load_of(index);
        const std::uint32_t target_rank = rank;
        if (!load.usable) {
            continue;
        }
        ++rank;
        const double slots = std::max<std::uint32_t>(load.slots, 1);
        if (load.requests >= slots * max_requests_per_slot) {
            continue;
        }
        const double service_times_ahead = std::max(0.0, load.requests + 1 - slots) / slots;
        placement candidate;
        candidate.target = index;
        candidate.rank = target_rank;
        candidate.wait =
            std::chrono::duration_cast<base::duration>(load.queue_time * service_times_ahead);
        candidate.finish = candidate.wait + load.service_time;
        const base::duration cost =
            candidate.finish + (load.knows_object ? base::duration{0} : move_penalty * target_rank);
        if (!best.has_value() || cost < best_cost) {
            best = candidate;
            best_cost = cost;
        }
    }
    return best;
}

} // namespace snipeshore::affinity
