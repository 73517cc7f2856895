#include "affinity/placement.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace snipeshore::affinity {

namespace {

/// Times its even part of the demand that a domain takes before objects leave it. With 1.6 small
/// domains keep more than they can serve, and more requests are refused than bytes are saved.
constexpr double local_slack = 1.0;

/// Smallest part of a target's slots that counts as free for objects of other regions.
constexpr double least_spare = 0.05;

constexpr std::uint64_t position_salt = 0x9e3779b97f4a7c15ULL;

/// Finalizer of SplitMix64: spreads all bits.
std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

double unit(std::uint64_t value)
{
    constexpr double steps = 9007199254740992.0; // 2^53
    return (static_cast<double>(value >> 11U) + 0.5) / steps;
}

struct scored {
    int tier = 0;
    double score = 0;
    std::uint32_t index = 0;

    bool operator<(const scored& other) const
    {
        return std::pair(tier, score) < std::pair(other.tier, other.score);
    }
};

/// Tiers an object goes through: 0 the own failure domain, 1 the own region, 2 anywhere.
int first_tier(const layout& of_service, std::uint64_t object)
{
    const double position = unit(mix(object ^ position_salt));
    if (position < of_service.domain_fraction) {
        return 0;
    }
    return position < of_service.region_fraction ? 1 : 2;
}

int tier_of(const layout& of_service, const placement_target& target, int first)
{
    const bool is_domain = target.failure_domain == of_service.own_domain;
    const bool is_region = target.region == of_service.own_region;
    if (first == 0 && is_domain) {
        return 0;
    }
    return first <= 1 && is_region ? 1 : 2;
}

} // namespace

layout make_layout(std::vector<placement_target> targets,
                   std::span<const std::uint32_t> domain_regions, std::uint32_t own_domain)
{
    layout made;
    made.own_domain = own_domain;
    made.own_region = domain_regions[own_domain];
    std::vector<double> domain_slots(domain_regions.size());
    double total = 0;
    double region_slots = 0;
    for (const placement_target& target : targets) {
        domain_slots[target.failure_domain] += target.slots;
        total += target.slots;
        region_slots += target.region == made.own_region ? target.slots : 0;
    }
    const double even = total / static_cast<double>(domain_regions.size());
    const auto region_domains = static_cast<double>(
        std::count(domain_regions.begin(), domain_regions.end(), made.own_region));
    if (total > 0) {
        made.domain_fraction = std::min(1.0, local_slack * domain_slots[own_domain] / even);
        made.region_fraction = std::min(1.0, local_slack * region_slots / (even * region_domains));
    }
    for (const placement_target& target : targets) {
        const double slots = domain_slots[target.failure_domain];
        const double spare = std::max(least_spare, 1.0 - even / slots);
        made.weights.push_back(spare * target.slots);
    }
    made.targets = std::move(targets);
    return made;
}

std::vector<std::uint32_t> rank_targets(const layout& of_service, std::uint64_t object,
                                        const std::function<bool(std::uint32_t)>& allowed)
{
    const int first = first_tier(of_service, object);
    std::vector<scored> all;
    all.reserve(of_service.targets.size());
    for (std::uint32_t index = 0; index < of_service.targets.size(); ++index) {
        if (!allowed(index)) {
            continue;
        }
        const placement_target& target = of_service.targets[index];
        const int tier = tier_of(of_service, target, first);
        const double weight = tier == 2 ? of_service.weights[index] : target.slots;
        all.push_back({tier, -std::log(unit(mix(object ^ target.hash))) / weight, index});
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
        const std::uint32_t own_rank = rank;
        if (!load.usable) {
            continue;
        }
        ++rank;
        const double slots = std::max<std::uint32_t>(load.slots, 1);
        if (load.requests >= slots * max_requests_per_slot) {
            continue;
        }
        const double ahead = std::max(0.0, load.requests + 1 - slots) / slots;
        placement found;
        found.target = index;
        found.rank = own_rank;
        found.wait = std::chrono::duration_cast<base::duration>(load.service_time * ahead);
        found.finish = found.wait + load.service_time;
        const base::duration cost = found.finish + move_penalty * own_rank;
        if (!best.has_value() || cost < best_cost) {
            best = found;
            best_cost = cost;
        }
    }
    return best;
}

} // namespace snipeshore::affinity
