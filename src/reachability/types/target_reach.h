/// @file What one host knows of its network paths to all targets together.
#pragma once

#include "base/time.h"
#include "base/types/ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace snipeshore::reachability {

/// Result of a probe, which opens a connection to a target and closes it.
enum class probe_result : std::uint8_t { connected, refused, timed_out };

/// Probes that were started together.
struct probe_round {
    std::size_t open = 0; ///< Probes without a result; 0: no round is running.
    std::size_t connected = 0;
    std::size_t timed_out = 0;
    base::time_point begun{};
};

struct target_reach {
    bool is_cut = false; ///< No new connection to any target can be opened.
    base::time_point changed_at{};
    /// Last connect failure of each target since `last_connected`.
    std::map<base::target_id, base::time_point> failures;
    base::time_point last_connected{}; ///< Last probe that opened a connection.
    base::time_point last_response{};  ///< Last response of any target.
    /// When the silence of all targets becomes suspicious; unset if no response is outstanding.
    std::optional<base::time_point> silent_at;
    probe_round round;
    base::time_point next_round{};  ///< No round starts before.
    unsigned rounds_in_row = 0;     ///< Latest rounds that contradict `is_cut`.
    unsigned rounds_to_recover = 0; ///< Rounds in a row that end the current cut.
};

} // namespace snipeshore::reachability
