/// @file Which hosts are alive, and what follows from that.
#pragma once

#include "fleet/types/member.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <span>
#include <string>
#include <vector>

namespace snipeshore::fleet {

/// A host that was silent for this long is not named to callers. Hosts exchange messages every
/// second; one lost message is no death.
inline constexpr std::chrono::milliseconds silent_after{2500};

/// Takes a message from the host itself. False if it is from an earlier incarnation that has ended.
bool hear(member_table& table, const member& from, base::time_point now);

/// Takes a host that the store lists; it counts as alive only once it was heard.
void list(member_table& table, const member& listed);

void remove(member_table& table, const base::host_id& host);

bool is_live(const known_member& of_host, base::time_point now);

/// Number of hosts that may admit requests, the own one included. Silent hosts count: they may
/// only be cut off.
std::size_t possible_hosts(const member_table& table);

/// Addresses for callers of a failure domain: ready hosts of the domain, else of its region, else
/// all. `self` is added if it is ready.
std::vector<std::string> entry_addresses(
    const member_table& table, const member& self, const base::failure_domain_id& caller_domain,
    const std::function<base::region_id(const base::failure_domain_id&)>& region_of,
    base::time_point now);

/// Whether the own host is the one of the live hosts that may send to a target which only one host
/// may use, such as a cold one.
bool is_owner(const member_table& table, std::string_view target, base::time_point now);

} // namespace snipeshore::fleet
