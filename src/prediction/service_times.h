/// @file Predicts how long a target takes for a request, by route and by how recently the target
/// ran the same object.
///
/// The load pattern that this answers: a short and a long route share a service, and most requests
/// are for objects that their target knows. One average over all of them predicts too much for the
/// short route, which is then refused, and too little for an object's first run.
#pragma once

#include "prediction/types/service_times.h"

#include <cstddef>
#include <string_view>

namespace snipeshore::prediction {

/// Bounds of the state, whatever callers send.
inline constexpr std::size_t max_routes = 4096;
inline constexpr std::uint64_t remembered_runs = 256; ///< Per target, and so its objects.

std::string_view to_string(recency known);

recency recency_of(const target_history& history, const request_traits& request);

/// Service time without the wait for a slot.
base::duration expected_time(const service_times& times, const target_history& history,
                             const request_traits& request, base::time_point now);

/// Service time that an average request takes at the target.
base::duration average_time(const service_times& times, const target_history& history,
                            base::time_point now);

/// Records that the request was sent to the target, which knows its object from then on.
void record_run(target_history& history, const request_traits& request);

/// Reverts `record_run` for a request that the target rejected.
void forget_run(target_history& history, const request_traits& request);

void record_time(service_times& times, target_history& history, const time_sample& sample,
                 base::time_point now);

} // namespace snipeshore::prediction
