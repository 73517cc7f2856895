#include "fleet/host_choice.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace snipeshore::fleet {

namespace {

/// Relayed requests may take up to this fraction of a host's requests in progress.
constexpr std::size_t relayed_divisor = 2;

template <typename Filter>
std::vector<member> filter_hosts(std::span<const member> hosts, Filter filter)
{
    std::vector<member> kept;
    std::copy_if(hosts.begin(), hosts.end(), std::back_inserter(kept), filter);
    return kept;
}

bool reaches(const member& host)
{
    return host.reaches_targets;
}

/// The hosts of the failure domain, of its region and of the fleet.
std::array<std::vector<member>, 3> scopes_of(std::span<const member> hosts,
                                             const base::failure_domain_id& domain,
                                             const region_lookup& region_of)
{
    const base::region_id region = region_of(domain);
    return {
        filter_hosts(hosts, [&](const member& host) { return host.failure_domain == domain; }),
        filter_hosts(hosts,
                     [&](const member& host) { return region_of(host.failure_domain) == region; }),
        {hosts.begin(), hosts.end()}};
}

/// Hosts that reach targets, in the nearest scope where they are at least half; empty if in none.
std::vector<member> nearest_reaching(std::span<const std::vector<member>> scopes)
{
    for (const std::vector<member>& scope : scopes) {
        std::vector<member> reaching = filter_hosts(scope, reaches);
        if (!reaching.empty() && reaching.size() * 2 >= scope.size()) {
            return reaching;
        }
    }
    return {};
}

} // namespace

std::vector<member> entry_hosts(std::span<const member> ready,
                                const base::failure_domain_id& caller_domain,
                                const region_lookup& region_of)
{
    const auto scopes = scopes_of(ready, caller_domain, region_of);
    std::vector<member> reaching = nearest_reaching(scopes);
    if (!reaching.empty()) {
        return reaching;
    }
    for (const std::vector<member>& scope : scopes) {
        if (!scope.empty()) {
            return scope;
        }
    }
    return {};
}

std::vector<member> relay_hosts(std::span<const member> ready, const member& self,
                                const region_lookup& region_of)
{
    const auto scopes = scopes_of(ready, self.failure_domain, region_of);
    std::vector<member> hosts = nearest_reaching(scopes);
    if (hosts.empty()) {
        hosts = filter_hosts(ready, reaches);
    }
    std::erase_if(hosts, [&](const member& host) { return host.id == self.id; });
    return hosts;
}

const member& pick_relay(std::span<const member> hosts,
                         const std::function<std::size_t(const member&)>& open_relays,
                         std::uint64_t random)
{
    const std::size_t first = random % hosts.size();
    std::size_t best = first;
    for (std::size_t i = 1; i < hosts.size(); ++i) {
        const std::size_t index = (first + i) % hosts.size();
        if (open_relays(hosts[index]) < open_relays(hosts[best])) {
            best = index;
        }
    }
    return hosts[best];
}

bool has_room_for_relayed(std::size_t requests, std::size_t max_requests)
{
    return requests < max_requests / relayed_divisor;
}

} // namespace snipeshore::fleet
