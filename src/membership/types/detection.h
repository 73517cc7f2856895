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
    /// Time without an answered probe after which a host is marked dead. Covers five probes, so
    /// that one lost or slow probe does not mark it.
    std::chrono::milliseconds failure_timeout{5000};
    /// If the time between two ticks is longer, the process was frozen.
    std::chrono::milliseconds max_tick_gap{2000};
};

struct detection {
    std::map<base::host_id, base::time_point> deadlines; ///< Deadline of each probed host.
};

/// Detects that the process was frozen.
struct freeze_state {
    base::time_point last_tick;
    bool unconfirmed = true; ///< The view may be outdated until a peer has answered.
    base::time_point unconfirmed_since;
    base::time_point
        confirm_until; ///< From then on the host acts on its own view: it is partitioned.
};

} // namespace snipeshore::membership
