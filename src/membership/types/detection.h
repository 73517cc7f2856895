/// @file State of failure detection.
#pragma once

#include "base/time.h"
#include "base/types/ids.h"

#include <chrono>
#include <cstddef>
#include <map>

namespace snipeshore::membership {

struct detection_settings {
    std::size_t probed_successors = 3;
    /// Five probes: one lost or slow probe must not make a host look dead.
    std::chrono::milliseconds failure_timeout{5000};
    /// A longer time between two ticks means that the process was frozen.
    std::chrono::milliseconds max_tick_gap{2000};
};

struct detection {
    std::map<base::host_id, base::time_point> deadlines; ///< For each host that is probed.
};

/// Finds out that the process was frozen.
struct freeze_state {
    base::time_point last_tick;
    bool unconfirmed = true; ///< The view may be out of date until a peer answered.
    base::time_point unconfirmed_since;
    base::time_point confirm_until; ///< Then the host acts on what it has: it is cut off.
};

} // namespace snipeshore::membership
