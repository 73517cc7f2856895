/// @file Targets as they registered themselves, from the rows of the store.
#pragma once

#include "apps/host/types/row_formats.h"
#include "apps/host/types/target_entry.h"
#include "base/time.h"
#include "rows/types/row.h"

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace snipeshore::apps {

struct target_registry {
    std::map<base::target_id, target_entry> targets;
    /// Targets whose rows vanished while the store was away, and when they count as gone.
    std::map<base::target_id, base::time_point> pending_removals;
};

/// When rows that vanished are believed.
struct registry_view {
    base::time_point now;
    base::time_point store_reachable_since; ///< Of the store.
    std::chrono::milliseconds reappear_time{0};
};

/// Takes changed rows. True if a target joined, left, turned cold or changed otherwise than by the
/// count of its reports.
bool apply_rows(target_registry& registry, const row_formats& formats,
                const std::vector<rows::row>& changes, const registry_view& view);

/// Whether a row of a target says nothing new but that the target lives.
bool is_liveness_report(const row_formats& formats, const rows::row& before,
                        const rows::row& after);

/// Drops vanished targets whose time has come. True if there were any.
bool remove_expired(target_registry& registry, base::time_point now);

} // namespace snipeshore::apps
