/// @file Liveness of the hosts, and the distribution of work among them.
#pragma once

#include "fleet/types/member.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace snipeshore::fleet {

/// A host without a message for this long is not returned to callers. Hosts of a failure domain
/// exchange messages every second, so one lost message does not exceed it.
inline constexpr std::chrono::milliseconds contact_timeout{2500};

/// Seconds between two messages to a host of another failure domain. Grows with the fleet, so that
/// each host sends a bounded number of messages per second.
unsigned remote_interval_s(const member_table& table);

/// Records a message from the host itself. Returns false if the message is from the own host.
bool record_contact(member_table& table, const member& from, base::time_point now);

/// Adds a host that the store lists; it counts as alive only after its first message.
void add_listed(member_table& table, const member& listed);

/// Handles that the store no longer lists the host. A host that serves may have lost its row with a
/// restoration of the store and registers again, so it stays known until it leaves or falls silent.
/// Returns whether the host was removed.
bool remove_unlisted(member_table& table, const base::host_id& host, base::time_point now);

/// Removes all unlisted hosts that have left or fallen silent; returns their ids.
std::vector<base::host_id> remove_unlisted(member_table& table, base::time_point now);

/// Whether the last message of the host is less than `contact_timeout` old.
bool has_recent_contact(const known_member& of_host, base::time_point now);

/// Whether the host is believed alive. Messages of hosts of other failure domains may be older,
/// since they are sent less often.
bool is_live(const member_table& table, const known_member& of_host, base::time_point now);

/// Hosts of a failure domain that call the store while none of them is known to reach it. Bounds
/// the calls of a large fleet during an outage of the store.
inline constexpr std::size_t max_store_callers = 3;

/// Rank of a host among those that may read the store; the highest is the reader.
std::uint64_t reader_weight(const base::host_id& host);

/// Position of the own host among those of its failure domain that may call the store.
std::size_t store_rank(const member_table& table, const member& self, base::time_point now);

/// The first `max_store_callers` hosts of the own failure domain that may call the store, without
/// the own host.
std::vector<member> store_callers(const member_table& table, const member& self,
                                  base::time_point now);

/// Host of the own failure domain that reads the store for the others; no value if the own host
/// should call the store.
std::optional<member> store_reader(const member_table& table, const member& self,
                                   base::time_point now);

/// Whether the own host is among the `count` highest-ranked of all known hosts for `item`, by
/// rendezvous hashing.
bool is_among_first(const member_table& table, std::string_view item, std::size_t count);

/// Those of the `count` highest-ranked other hosts for `item` that are believed alive, hosts of the
/// own failure domain first.
std::vector<member> first_peers(const member_table& table, std::string_view item, std::size_t count,
                                base::time_point now);

/// Up to `max` hosts that are believed alive, those of the own failure domain first, then by their
/// rank for `item`.
std::vector<member> live_peers(const member_table& table, std::string_view item, std::size_t max,
                               base::time_point now);

/// Requests per second that the own host may send to a target which takes `rate` from all hosts
/// together. All known hosts count, since one that is silent may only be partitioned.
double limit_share(const member_table& table, std::string_view target,
                   const base::failure_domain_id& target_domain, double rate);

/// Number of hosts that may admit requests, including the own host. Unresponsive hosts count, since
/// they may only be partitioned from this host.
std::size_t possible_host_count(const member_table& table);

/// The own host and all others with recent contact that are ready. Valid as long as `table` and
/// `self` do not change.
std::vector<const member*> ready_hosts(const member_table& table, const member& self,
                                       base::time_point now);

/// Whether the own host is the only live host that may send requests to a target that is restricted
/// to one host, such as a cold target. Hosts that reach no target are passed over.
bool is_owner(const member_table& table, std::string_view target, base::time_point now);

} // namespace snipeshore::fleet
