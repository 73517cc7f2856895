/// @file Chooses the target of a request within a failure domain.
///
/// There is one state per service. Each entry host uses a subset of the targets. The cost of a
/// target is its observed latency times this host's requests in flight per slot, plus the cost of a
/// new connection if none is idle, divided by the target's weight (slow start, load shedding and
/// error rate). Reported load is only used to choose between targets of equal cost, because reports
/// may be late or wrong. Targets are not probed: a probe costs more than several connections, and
/// regular requests already provide latency and error measurements.
#pragma once

#include "balancing/types/choice_record.h"
#include "balancing/types/outcome.h"
#include "balancing/types/settings.h"
#include "balancing/types/target_set.h"
#include "balancing/types/target_state.h"
#include "base/result.h"
#include "base/time.h"
#include "signals/target_rest.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace snipeshore::balancing {

inline constexpr std::size_t max_choice_records = 64;

struct balancer_state {
    settings config;
    std::vector<target_state> targets; ///< Indices are stable while requests are in flight.
    std::array<choice_record, max_choice_records> recent{}; ///< Ring buffer for the state dump.
    std::uint64_t choices = 0; ///< Modulo the ring size: next position in `recent`.
};

struct request_info {
    std::uint64_t hash = 0;  ///< Last tie-breaker; should be uniformly distributed.
    bool allow_trial = true; ///< May test an ejected target; false if not idempotent.
    std::span<const std::uint32_t> excluded; ///< Targets already tried for this request.
};

/// Replaces the targets. Known targets keep their observations. New and returning targets go
/// through slow start, except for the first set of a state, whose targets get their full weight at
/// once.
void set_targets(balancer_state& state, const target_set& targets, base::time_point now);

/// Returns the index of the target for a request, or `no_target` if every target is at its
/// connection limit, leaving, ejected or excluded.
base::result<std::uint32_t> choose(balancer_state& state, const request_info& request,
                                   base::time_point now);

/// Records the start of a request. Must be called for the chosen target before the next `choose`.
/// This and the following functions ignore indices that are out of range.
void on_start(balancer_state& state, std::uint32_t target, base::time_point now);

/// Records the end of a request. Must be called exactly once for every `on_start`. `latency` is the
/// time until the response head arrived.
void on_end(balancer_state& state, std::uint32_t target, outcome result,
            std::chrono::nanoseconds latency, base::time_point now);

/// Records that the target has asked for a rest. It gets no request until its end.
void on_rest(balancer_state& state, std::uint32_t target, const signals::rest_request& rest,
             base::time_point now);

/// Records the load that the target reports, in requests per slot.
void on_load_report(balancer_state& state, std::uint32_t target, double load_per_slot,
                    base::time_point now);

/// Sets the number of idle pooled connections to the target.
void set_idle_connections(balancer_state& state, std::uint32_t target, std::uint32_t count);

/// Returns the index of the target with this id if it is in the latest target set.
std::optional<std::uint32_t> find_target(const balancer_state& state, const base::target_id& id);

/// Returns the subset of each entry host as indices into `targets.targets`, in the order of
/// `targets.entry_hosts`. Every host computes the same result, and all targets are used by nearly
/// the same number of hosts.
std::vector<std::vector<std::uint32_t>> make_subsets(const target_set& targets,
                                                     const settings& config);

} // namespace snipeshore::balancing
