/// @file Failure detection inside a failure domain, and detection of the process's own freezes.
#pragma once

#include "membership/types/detection.h"
#include "membership/types/table.h"

#include <vector>

namespace snipeshore::membership {

/// Hosts that this one probes: its successors on the ring of its failure domain, by hash.
std::vector<base::host_id> ring_successors(const table& members, const inner::host_record& self,
                                           std::size_t count);

/// Sets which hosts are probed; a host that is new among them gets the whole time to answer.
void set_probed(detection& state, const std::vector<base::host_id>& hosts, base::time_point now,
                const detection_settings& settings);

void on_probe_answered(detection& state, const base::host_id& host, base::time_point now,
                       const detection_settings& settings);

/// Marks the hosts `dead` whose deadline has passed. Returns their records.
std::vector<inner::host_record> mark_dead(table& members, const detection& state,
                                          base::time_point now);

/// Gives every probed host the whole time again, after this process was frozen.
void restart_deadlines(detection& state, base::time_point now, const detection_settings& settings);

/// To be called before anything else on each tick. Returns whether the process was frozen since
/// the last one; then it must hear from a peer before it acts.
bool observe_tick(freeze_state& state, base::time_point now, const detection_settings& settings);

/// A call to a peer that was sent at `sent` was answered.
void on_peer_answered(freeze_state& state, base::time_point sent);

/// Whether the host may act on its view.
bool may_act(const freeze_state& state, base::time_point now);

} // namespace snipeshore::membership
