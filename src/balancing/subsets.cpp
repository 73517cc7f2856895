#include "balancing/balancer.h"
#include "base/hash.h"

#include <algorithm>
#include <numeric>

namespace snipeshore::balancing {

namespace {

struct assignment {
    std::vector<std::vector<bool>> uses;    ///< Whether a host uses a target: [host][target].
    std::vector<std::uint32_t> host_counts; ///< Number of hosts that use each target.
};

bool is_before(const base::host_id& left, const base::host_id& right)
{
    return left.value() < right.value();
}

std::size_t subset_size(std::size_t targets, std::size_t hosts, const settings& config)
{
    const std::size_t wanted = (targets * config.hosts_per_target + hosts - 1) / hosts;
    return std::min(targets, std::max<std::size_t>(wanted, config.min_subset));
}

std::uint64_t weight(const base::host_id& host, const base::target_id& target)
{
    return base::rendezvous_weight(target.value(), host.value());
}

/// Replaces the target that most hosts use by the one that fewest hosts use, on the host for which
/// the latter has the greatest rendezvous weight. Returns false if the numbers of hosts per target
/// differ by at most one.
bool balance_once(assignment& result, const std::vector<base::host_id>& hosts,
                  const std::vector<const target_info*>& targets)
{
    const auto [least, most] =
        std::minmax_element(result.host_counts.begin(), result.host_counts.end());
    if (*most - *least < 2) {
        return false;
    }
    const auto to = static_cast<std::size_t>(least - result.host_counts.begin());
    const auto from = static_cast<std::size_t>(most - result.host_counts.begin());
    std::size_t best = hosts.size();
    std::uint64_t best_weight = 0;
    for (std::size_t host = 0; host < hosts.size(); ++host) {
        if (!result.uses[host][from] || result.uses[host][to]) {
            continue;
        }
        const std::uint64_t candidate = weight(hosts[host], targets[to]->id);
        if (best == hosts.size() || candidate > best_weight) {
            best = host;
            best_weight = candidate;
        }
    }
    result.uses[best][from] = false;
    result.uses[best][to] = true;
    --result.host_counts[from];
    ++result.host_counts[to];
    return true;
}

/// Gives each host the targets with the greatest rendezvous weights, so that few assignments change
/// when hosts or targets change, and then balances the number of hosts per target.
assignment assign(const std::vector<base::host_id>& hosts,
                  const std::vector<const target_info*>& targets, const settings& config)
{
    assignment result;
    result.host_counts.assign(targets.size(), 0);
    const std::size_t size = subset_size(targets.size(), hosts.size(), config);
    for (const base::host_id& host : hosts) {
        std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
        for (std::size_t target = 0; target < targets.size(); ++target) {
            ranked.emplace_back(weight(host, targets[target]->id), target);
        }
        std::sort(ranked.rbegin(), ranked.rend());
        std::vector<bool> uses(targets.size(), false);
        for (std::size_t rank = 0; rank < size; ++rank) {
            uses[ranked[rank].second] = true;
            ++result.host_counts[ranked[rank].second];
        }
        result.uses.push_back(std::move(uses));
    }
    while (balance_once(result, hosts, targets)) {
    }
    return result;
}

} // namespace

std::vector<std::vector<std::uint32_t>> make_subsets(const target_set& targets,
                                                     const settings& config)
{
    std::vector<std::vector<std::uint32_t>> subsets(targets.entry_hosts.size());
    // Sorted, because hosts may list the entry hosts in different orders.
    std::vector<base::host_id> hosts = targets.entry_hosts;
    std::sort(hosts.begin(), hosts.end(), is_before);
    hosts.erase(std::unique(hosts.begin(), hosts.end()), hosts.end());
    std::vector<const target_info*> usable;
    for (const target_info& target : targets.targets) {
        if (!target.leaving) {
            usable.push_back(&target);
        }
    }
    std::sort(usable.begin(), usable.end(), [](const auto* left, const auto* right) {
        return left->id.value() < right->id.value();
    });
    if (hosts.empty() || usable.empty()) {
        return subsets;
    }
    const assignment result = assign(hosts, usable, config);
    for (std::size_t index = 0; index < targets.entry_hosts.size(); ++index) {
        const auto position = static_cast<std::size_t>(
            std::lower_bound(hosts.begin(), hosts.end(), targets.entry_hosts[index], is_before) -
            hosts.begin());
        for (std::size_t target = 0; target < usable.size(); ++target) {
            if (result.uses[position][target]) {
                subsets[index].push_back(
                    static_cast<std::uint32_t>(usable[target] - targets.targets.data()));
            }
        }
        std::sort(subsets[index].begin(), subsets[index].end());
    }
    return subsets;
}

} // namespace snipeshore::balancing
