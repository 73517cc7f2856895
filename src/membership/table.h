/// @file Merging and exchange of host records.
#pragma once

#include "membership/types/table.h"

#include <vector>

namespace snipeshore::membership {

/// Total order of the records of one host: by incarnation, counter and status (`dead` is highest).
/// Only the host itself raises its incarnation or counter, which overrides the `dead` status set by
/// a detector.
bool overrides(const inner::host_record& candidate, const inner::host_record& current);

/// Stores the record if it overrides the current one. Returns whether the table changed.
bool merge(table& members, const inner::host_record& record, base::time_point now,
           const table_limits& limits);

/// Merges all records. Returns whether the table changed.
bool merge_all(table& members, const std::vector<inner::host_record>& records, base::time_point now,
               const table_limits& limits);

/// Compares a record of this host from others with its own record, and raises the own record above
/// it if needed. While `joining` (until the first exchange), the record of an earlier incarnation
/// is overridden. Later, a record of a higher incarnation at another address that is not
/// `dead` means that this process was replaced.
self_check check_self(inner::host_record& self, const inner::host_record& seen, bool joining);

/// One hash per failure domain over (host, incarnation, counter, status).
std::vector<inner::domain_hash> domain_hashes(const table& members);

/// Records of the failure domains whose hash is different or missing in `theirs`.
std::vector<inner::host_record> records_to_send(const table& members,
                                                const std::vector<inner::domain_hash>& theirs);

/// Records that the peer lacks or that override its records, in the failure domains of the records
/// it has sent.
std::vector<inner::host_record> records_peer_lacks(const table& members,
                                                   const std::vector<inner::host_record>& theirs);

/// Removes hosts that have been dead for longer than `dead_retention`. Returns whether the table
/// changed.
bool remove_long_dead(table& members, base::time_point now, const table_limits& limits);

/// Whether there was a recent proof of life from a host of the domain, directly or through other
/// hosts.
bool is_reachable(const table& members, const base::failure_domain_id& domain, base::time_point now,
                  const table_limits& limits);

/// Whether this host has the lowest hash of the live hosts in its domain. That host raises its
/// counter periodically, so that other domains know that the domain is reachable.
bool sends_domain_heartbeat(const table& members, const inner::host_record& self);

/// Whether this host has the lowest hash of the live hosts in its domain for the interval. That
/// host makes the calls to the store for the domain.
bool is_elected(const table& members, const inner::host_record& self, std::uint64_t interval);

} // namespace snipeshore::membership
