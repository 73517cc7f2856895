/// @file State that an entry host keeps for one target.
#pragma once

#include "balancing/types/target_set.h"
#include "base/time.h"
#include "signals/types/target_signals.h"

#include <cstdint>
#include <optional>

namespace snipeshore::balancing {

enum class ejection_phase : std::uint8_t { active, ejected, trial };

struct target_state {
    target_info info;
    bool present = false;   ///< In the latest target set. Others stay until their requests end.
    bool in_subset = false; ///< In this host's subset.
    std::uint32_t connection_limit = 1; ///< This host's portion of the target's limit.
    std::uint32_t in_flight = 0;
    std::uint32_t idle_connections = 0;
    base::time_point warm_since{}; ///< Start of slow start.
    double latency_ms = 0;         ///< Moving average; 0: no measurement yet.
    double error_rate = 0;         ///< Moving average of failures.
    std::uint32_t samples = 0;     ///< Outcomes in `error_rate`.
    base::time_point observed_at{};
    double shed_weight = 1; ///< Weight after the last load-shedding response.
    base::time_point shed_at{};
    signals::target_signals signals;   ///< A rest that the target has asked for.
    std::uint32_t failures_in_row = 0; ///< Consecutive failures.
    ejection_phase phase = ejection_phase::active;
    base::time_point ejected_until{};
    std::uint32_t ejections = 0; ///< Consecutive ejections; each doubles the ejection time.
    bool trial_running = false;
    std::optional<double> reported_load; ///< Requests per slot reported by the target.
};

} // namespace snipeshore::balancing
