/// @file Registered targets, as read from the rows of the store.
#pragma once

#include "apps/host/types/row_formats.h"
#include "apps/host/types/target_entry.h"
#include "base/time.h"
#include "rows/types/row.h"

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace snipeshore::apps {

/// Last entry of a target that is no longer in use.
struct departed_target {
    std::int64_t started_ms = 0;
    std::uint64_t sequence = 0;
    base::time_point forget_at;
};

/// Entry that may be an old one, and the time at which it is used unless it was removed by then.
struct held_entry {
    target_entry entry;
    base::time_point use_at;
};

struct target_registry {
    std::map<base::target_id, target_entry> targets;
    std::map<base::target_id, departed_target> departed;
    std::map<base::target_id, held_entry> held;
    /// Targets whose rows may have expired during an outage of the store, and the time at which
    /// their removal takes effect.
    std::map<base::target_id, base::time_point> pending_removals;
    /// Region of each failure domain. The targets of a region lose the store together.
    std::map<base::failure_domain_id, base::region_id> regions;
};

/// Determines when the removal of a row takes effect.
struct registry_view {
    base::time_point now;
    base::time_point store_reachable_since; ///< Start of uninterrupted contact with the store.
    std::chrono::milliseconds reappear_time{0};
    /// Time at which the store came back with an earlier state.
    std::optional<base::time_point> store_restored_at;
};

/// Applies changed rows. Returns true if a target was added or removed, became cold, or changed in
/// anything but the sequence number of its reports.
bool apply_rows(target_registry& registry, const row_formats& formats,
                const std::vector<rows::row>& changes, const registry_view& view);

/// Whether the new row of a target only shows that the target is still alive.
bool is_liveness_report(const row_formats& formats, const rows::row& before,
                        const rows::row& after);

/// Removes targets whose pending removal is due. Returns true if there were any.
bool remove_expired(target_registry& registry, base::time_point now);

/// Uses held entries that are due. Returns true if there were any.
bool use_held(target_registry& registry, base::time_point now);

} // namespace snipeshore::apps
