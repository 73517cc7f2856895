/// @file Chooses the target of a request inside a failure domain.
///
/// One state per service. An entry host uses a subset of the targets. The cost of a target is its
/// observed latency times the own requests in flight per slot, divided by its weight (slow start,
/// load shedding), plus the cost of a new connection if none is idle. Reported load is consulted
/// only between targets of equal cost, because it is delayed or wrong. Nothing is probed:
/// a probe costs more than several connections, and requests observe the targets already.
#pragma once

#include "balancing/types/choice_record.h"
#include "balancing/types/outcome.h"
#include "balancing/types/settings.h"
#include "balancing/types/target_set.h"
#include "balancing/types/target_state.h"
#include "base/result.h"
#include "base/time.h"

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
    std::vector<target_state> targets; ///< An index stays valid while a request is in flight.
    std::array<choice_record, max_choice_records> recent{}; ///< Ring, for the dump.
    std::uint64_t choices = 0; ///< Next ring position, modulo its size.
};

struct request_info {
    std::uint64_t hash = 0;  ///< Breaks the last ties; any well spread number.
    bool allow_trial = true; ///< May test an ejected target; false for a request that runs once.
    std::span<const std::uint32_t> excluded; ///< Targets tried before.
};

/// Replaces the targets. Known targets keep their observations; new and returning ones start
/// slowly, except for the first set of a state, which is served at full weight.
void set_targets(balancer_state& state, const target_set& targets, base::time_point now);

/// Index of the target for a request, or `no_target` when every target is at its connections limit,
/// leaving, ejected or excluded.
base::result<std::uint32_t> choose(balancer_state& state, const request_info& request,
                                   base::time_point now);

/// Must be called for the chosen target before the next `choose`. An index that is out of range is
/// ignored by this and the following functions.
void on_start(balancer_state& state, std::uint32_t target, base::time_point now);

/// Must be called once for every `on_start`. `latency` is the time to the response head.
void on_end(balancer_state& state, std::uint32_t target, outcome result,
            std::chrono::nanoseconds latency, base::time_point now);

void on_load_report(balancer_state& state, std::uint32_t target, double load_per_slot,
                    base::time_point now);

/// Number of idle pooled connections to the target.
void set_idle_connections(balancer_state& state, std::uint32_t target, std::uint32_t count);

/// Index of a target by id, if it is in the latest set.
std::optional<std::uint32_t> find_target(const balancer_state& state, const base::target_id& id);

/// Indices into `targets.targets` of each entry host's subset, in order of `targets.entry_hosts`.
/// Every host computes the same result; all targets are used by nearly the same number of hosts.
std::vector<std::vector<std::uint32_t>> make_subsets(const target_set& targets,
                                                     const settings& config);

} // namespace snipeshore::balancing
