/// @file Failure detection within a failure domain, and detection of freezes of the own process.
#pragma once

#include "membership/types/detection.h"
#include "membership/types/table.h"

#include <vector>

namespace snipeshore::membership {

/// Hosts that this host probes: its successors on the hash ring of its failure domain.
std::vector<base::host_id> ring_successors(const table& members, const inner::host_record& self,
                                           std::size_t count);

/// Sets the probed hosts. Newly probed hosts get a full `failure_timeout`.
void set_probed(detection& state, const std::vector<base::host_id>& hosts, base::time_point now,
                const detection_settings& settings);

void on_probe_answered(detection& state, const base::host_id& host, base::time_point now,
                       const detection_settings& settings);

/// Marks the hosts whose deadline has passed as `dead` and returns their records.
std::vector<inner::host_record> mark_dead(table& members, const detection& state,
                                          base::time_point now);

/// Gives every probed host a full `failure_timeout` after this process was frozen.
void restart_deadlines(detection& state, base::time_point now, const detection_settings& settings);

/// To be called first on each tick. Returns whether the process was frozen since the last tick;
/// then a peer must answer before the process acts on its view.
bool observe_tick(freeze_state& state, base::time_point now, const detection_settings& settings);

/// To be called when a peer answered a call that was sent at `sent`.
void on_peer_answered(freeze_state& state, base::time_point sent);

/// Whether the host may act on its view of the fleet.
bool may_act(const freeze_state& state, base::time_point now);

} // namespace snipeshore::membership
