/// @file What a decider remembers between decisions.
#pragma once

#include "base/time.h"
#include "steering/types/decision_record.h"
#include "steering/types/weight_table.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace snipeshore::steering {

/// Load added to or taken from a region or link by this decider at a time.
struct pending_load_change {
    base::time_point at{};
    double added = 0;
    double removed = 0;
};

/// Bound of a list of unseen changes; older entries are merged and then count as the newer one.
inline constexpr std::size_t max_pending_load_changes = 64;

struct steering_state {
    weight_table weights; ///< Empty before the first decision.
    std::vector<double> demand;
    std::vector<placement_reason> placements; ///< Per row.
    std::vector<wait_reason> waits;           ///< Per row.
    std::vector<std::vector<pending_load_change>> regions;
    std::vector<std::vector<pending_load_change>> links;
    std::optional<base::time_point> last_shift;
};

} // namespace snipeshore::steering
