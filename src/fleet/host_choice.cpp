#include "fleet/host_choice.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <iterator>

namespace snipeshore::fleet {

namespace {

/// Relayed requests may take up to this fraction of a host's requests in progress.
constexpr std::size_t relayed_divisor = 2;

enum class scope : std::uint8_t { failure_domain, region, fleet };

constexpr std::array<scope, 3> scopes_by_distance{scope::failure_domain, scope::region,
                                                  scope::fleet};

host_list hosts_in(std::span<const member* const> hosts, scope within,
                   const base::failure_domain_id& domain, const region_lookup& region_of)
{
    const base::region_id region = region_of(domain);
    host_list found;
    std::copy_if(hosts.begin(), hosts.end(), std::back_inserter(found), [&](const member* host) {
        switch (within) {
        case scope::failure_domain:
            return host->failure_domain == domain;
        case scope::region:
            return region_of(host->failure_domain) == region;
        case scope::fleet:
            return true;
        }
        return true;
    });
    return found;
}

host_list reaching(host_list hosts)
{
    std::erase_if(hosts, [](const member* host) { return !host->reaches_targets; });
    return hosts;
}

/// Hosts that reach targets, in the nearest scope where they are at least half; empty if in none.
host_list nearest_reaching(std::span<const member* const> ready,
                           const base::failure_domain_id& domain, const region_lookup& region_of)
{
    for (const scope within : scopes_by_distance) {
        const host_list hosts = hosts_in(ready, within, domain, region_of);
        host_list found = reaching(hosts);
        if (!found.empty() && found.size() * 2 >= hosts.size()) {
            return found;
        }
    }
    return {};
}

} // namespace

host_list entry_hosts(std::span<const member* const> ready,
                      const base::failure_domain_id& caller_domain, const region_lookup& region_of)
{
    host_list hosts = nearest_reaching(ready, caller_domain, region_of);
    for (const scope within : scopes_by_distance) {
        if (hosts.empty()) {
            hosts = hosts_in(ready, within, caller_domain, region_of);
        }
    }
    return hosts;
}

host_list relay_hosts(std::span<const member* const> ready, const member& self,
                      const region_lookup& region_of)
{
    host_list hosts = nearest_reaching(ready, self.failure_domain, region_of);
    if (hosts.empty()) {
        hosts = reaching({ready.begin(), ready.end()});
    }
    std::erase_if(hosts,
                  [&](const member* host) { return host->id == self.id || !host->takes_relayed; });
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
