/// @file What an entry host knows about one target.
#pragma once

#include "balancing/types/target_set.h"
#include "base/time.h"

#include <cstdint>
#include <optional>

namespace snipeshore::balancing {

enum class ejection_phase : std::uint8_t { active, ejected, trial };

struct target_state {
    target_info info;
    bool present = false;   ///< In the latest target set; absent ones wait for their requests.
    bool in_subset = false; ///< Chosen by this host's subset.
    std::uint32_t connection_limit = 1; ///< This host's part of the target's connections.
    std::uint32_t in_flight = 0;
    std::uint32_t idle_connections = 0;
    base::time_point warm_since{}; ///< Start of slow start.
    double latency_ms = 0;         ///< Moving average; 0: not observed.
    double error_rate = 0;         ///< Moving average of failures.
    std::uint32_t samples = 0;
    base::time_point observed_at{};
    double shed_weight = 1;
    base::time_point shed_at{};
    std::uint32_t failures_in_row = 0;
    ejection_phase phase = ejection_phase::active;
    base::time_point ejected_until{};
    std::uint32_t ejections = 0; ///< In a row; the ejection time doubles with each.
    bool trial_running = false;
    std::optional<double> reported_load; ///< Requests per slot as the target says.
};

} // namespace snipeshore::balancing
