/// @file Decides whether a host has lost its network paths to all targets, as opposed to targets,
/// services or failure domains that are down for all hosts.
#pragma once

#include "base/time.h"
#include "base/types/ids.h"
#include "reachability/types/target_reach.h"

namespace snipeshore::reachability {

/// A request was sent to a target that is predicted to respond after `predicted`.
void on_request_sent(target_reach& reach, base::duration predicted, base::time_point now);

/// Bytes of a response arrived from any target.
void on_response(target_reach& reach, base::time_point now);

/// A connection for a request could not be opened.
void on_connect_failed(target_reach& reach, const base::target_id& target, base::time_point now);

/// Whether a round of probes should start now: because failures or silence are suspicious, to
/// confirm a failed round, or to find the end of a cut.
bool should_probe(const target_reach& reach, base::time_point now);

/// When `should_probe` may next become true without further events; empty if it needs one.
std::optional<base::time_point> next_check(const target_reach& reach, base::time_point now);

/// Starts a round of `probes` > 0 probes.
void begin_round(target_reach& reach, std::size_t probes, base::time_point now);

/// Records the result of one probe. Returns true if it ended the round and changed `is_cut`.
bool on_probe_result(target_reach& reach, probe_result result, base::time_point now);

} // namespace snipeshore::reachability
