/// @file State that a decider keeps between decisions.
#pragma once

#include "base/time.h"
#include "steering/types/decision_record.h"
#include "steering/types/weight_table.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace snipeshore::steering {

/// Load that this decider added to or removed from a region or link and that measurements may not
/// show yet.
struct pending_load_change {
    base::time_point at{};
    double added = 0;
    double removed = 0;
};

/// Maximum length of a list of pending changes. Beyond it the two oldest entries are merged and
/// keep the time of the newer one.
inline constexpr std::size_t max_pending_load_changes = 64;

struct steering_state {
    weight_table weights;                     ///< Empty before the first decision.
    std::vector<double> demand;               ///< Per row: last known requests per second.
    std::vector<placement_reason> placements; ///< Per row.
    std::vector<wait_reason> waits;           ///< Per row.
    std::vector<std::vector<pending_load_change>> regions; ///< Per region.
    std::vector<std::vector<pending_load_change>> links;   ///< Per link.
    std::optional<base::time_point> last_shift;
};

} // namespace snipeshore::steering
