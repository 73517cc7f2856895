/// @file Which hosts are alive, and what follows from that.
#pragma once

#include "fleet/types/member.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace snipeshore::fleet {

/// A host that was silent for this long is not named to callers. Hosts of a failure domain exchange
/// messages every second; one lost message is no death.
inline constexpr std::chrono::milliseconds contact_timeout{2500};

/// Seconds between two messages to a host of another failure domain: grows with the fleet, so that
/// each host sends a bounded number of messages a second.
unsigned remote_interval_s(const member_table& table);

/// Takes a message from the host itself. False if it is from an earlier incarnation that has ended.
bool record_contact(member_table& table, const member& from, base::time_point now);

/// Takes a host that the store lists; it counts as alive only once it was heard.
void add_listed(member_table& table, const member& listed);

void remove(member_table& table, const base::host_id& host);

/// Whether the host was heard within `contact_timeout`.
bool has_recent_contact(const known_member& of_host, base::time_point now);

/// Whether the host is believed alive, from the messages that are due from it.
bool is_live(const member_table& table, const known_member& of_host, base::time_point now);

/// The host of the own failure domain that reads the store for the others; nothing if it is the own
/// host.
std::optional<member> store_reader(const member_table& table, const member& self,
                                   base::time_point now);

/// Whether the own host is among the first `count` of all possible hosts for `item`.
bool is_among_first(const member_table& table, std::string_view item, std::size_t count);

/// The first `count` possible hosts for `item` that are believed alive, those of the own failure
/// domain first; without the own host.
std::vector<member> first_peers(const member_table& table, std::string_view item, std::size_t count,
                                base::time_point now);

/// Number of hosts that may admit requests, the own one included. Silent hosts count: they may
/// only be cut off.
std::size_t possible_host_count(const member_table& table);

/// Addresses for callers of a failure domain: ready hosts of the domain, else of its region, else
/// all. `self` is added if it is ready.
std::vector<std::string>
entry_addresses(const member_table& table, const member& self,
                const base::failure_domain_id& caller_domain,
                const std::function<base::region_id(const base::failure_domain_id&)>& region_of,
                base::time_point now);

/// Whether the own host is the one of the live hosts that may send to a target which only one host
/// may use, such as a cold one.
bool is_owner(const member_table& table, std::string_view target, base::time_point now);

} // namespace snipeshore::fleet
