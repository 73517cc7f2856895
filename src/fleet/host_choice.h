/// @file Chooses the hosts that serve callers, and those that requests are relayed through, when
/// some hosts have lost their paths to the targets.
#pragma once

#include "fleet/types/member.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <vector>

namespace snipeshore::fleet {

using host_list = std::vector<const member*>;
using region_lookup = std::function<base::region_id(const base::failure_domain_id&)>;

/// Hosts that look-ups name to callers of a failure domain, out of all ready hosts. Those of the
/// domain that reach targets, if they are at least half of its hosts, so that none has to bear more
/// than twice its load; else those of the region, else of the fleet. If most of the fleet reaches
/// no target, the nearest hosts, as they relay requests to the few others.
host_list entry_hosts(std::span<const member* const> ready,
                      const base::failure_domain_id& caller_domain, const region_lookup& region_of);

/// Hosts through which the own host relays requests: the same, but only hosts that reach targets,
/// and all of those if they are few. Never the own host or one of a version
/// that takes no relayed requests.
host_list relay_hosts(std::span<const member* const> ready, const member& self,
                      const region_lookup& region_of);

/// Picks the host with the fewest open relays, `open_relays(host)`; one of several by `random`.
/// `hosts` must not be empty.
const member& pick_relay(std::span<const member> hosts,
                         const std::function<std::size_t(const member&)>& open_relays,
                         std::uint64_t random);

/// Whether a host with this many requests in progress takes a relayed one. The rest of its room is
/// for its own callers.
bool has_room_for_relayed(std::size_t requests, std::size_t max_requests);

} // namespace snipeshore::fleet
