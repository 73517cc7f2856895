/// @file Merging host records.
#pragma once

#include "membership/types/table.h"

#include <vector>

namespace snipeshore::membership {

/// Total order of the records of one host: incarnation, counter, status (`dead` is highest). Only
/// the host itself raises incarnation or counter, so that it overrules a detector's `dead`.
bool overrides(const inner::host_record& candidate, const inner::host_record& current);

/// Keeps the record that overrides. Returns whether the table changed.
bool merge(table& members, const inner::host_record& record, base::time_point now,
           const table_limits& limits);

/// Returns whether the table changed.
bool merge_all(table& members, const std::vector<inner::host_record>& records, base::time_point now,
               const table_limits& limits);

/// Compares what others say of this host with its own record, and raises that above it if needed.
/// While `joining` (until the first exchange) a record of an earlier life is overruled; later one
/// of a higher incarnation at another address means that this process was replaced.
self_check check_self(inner::host_record& self, const inner::host_record& seen, bool joining);

/// One hash per failure domain over (host, incarnation, counter, status).
std::vector<inner::domain_hash> domain_hashes(const table& members);

/// Records of the failure domains whose hash is another one, or missing, in `theirs`.
std::vector<inner::host_record> records_to_send(const table& members,
                                                const std::vector<inner::domain_hash>& theirs);

/// Own records that override those a peer has sent, in the domains that it has sent.
std::vector<inner::host_record> records_peer_lacks(const table& members,
                                                   const std::vector<inner::host_record>& theirs);

/// Removes hosts that have been dead for long. Returns whether the table changed.
bool remove_long_dead(table& members, base::time_point now, const table_limits& limits);

/// Whether a host of the domain was heard of lately, at any distance.
bool is_reachable(const table& members, const base::failure_domain_id& domain, base::time_point now,
                  const table_limits& limits);

/// Whether this host, the live one with the lowest hash in its domain, raises its counter
/// regularly, so that other domains know that the domain is reachable.
bool sends_domain_heartbeat(const table& members, const inner::host_record& self);

/// The live host with the lowest hash for an interval; it does the domain's calls to the store.
bool is_elected(const table& members, const inner::host_record& self, std::uint64_t interval);

} // namespace snipeshore::membership
