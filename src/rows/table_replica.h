/// @file Replica of a table that never returns to an older state of the store's present era, in
/// whatever order its sources are read.
#pragma once

#include "rows/types/row.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace snipeshore::rows {

/// Rows by key, with the versions of removed rows, so that an older state cannot restore them.
struct table_replica {
    /// Whether a row only repeats the previous one, as periodic reports do; such changes are not
    /// sent to peers. If null, no change counts as a repeat.
    std::function<bool(const row& before, const row& after)> is_repeat;
    std::map<std::string, row> rows; ///< Removed rows are kept as tombstones without a value.
    std::uint64_t version = 0;       ///< All changes up to this version are known.
    /// Tombstones of rows removed up to this version may be missing, since the first full read
    /// returned only the remaining rows.
    std::uint64_t first_version = 0;
    /// Era of all versions in the replica, see `page::era`.
    std::uint64_t era = 0;
};

/// Merges changed rows from the store or a peer, and returns the rows that were newer.
std::vector<row> merge(table_replica& replica, const std::vector<row>& changes);

/// Applies the whole table as of `version`; rows missing in it count as removed at that version.
/// Returns the changes. A table of a later era replaces the replica whatever the versions of its
/// rows; the changes are then the rows whose values differ. The era must not be earlier than the
/// replica's.
std::vector<row> replace(table_replica& replica, const std::vector<row>& all, std::uint64_t version,
                         std::uint64_t era = 0);

/// Whether an applied change is more than a repeat of the previous row.
bool is_news(const row& change);

/// Rows that another replica is missing.
struct replica_update {
    std::uint64_t version = 0;
    bool is_full = false; ///< Contains the whole table instead of changes.
    std::vector<row> rows;
    std::uint64_t era = 0;
    /// Since when the host that sent it has had contact with the store, if it says so.
    std::optional<base::time_point> store_reachable_since;
};

/// Whether the version of this era is later than all that the replica knows.
bool is_newer(std::uint64_t era, std::uint64_t version, const table_replica& replica);

/// Update for a replica of the same era at version `after`: changes in the order of versions,
/// including removed rows, or the whole table if some changes are not known.
replica_update update_after(const table_replica& replica, std::uint64_t after);

/// Applies an update from a peer and returns the changes. Only a full update can begin a later era;
/// an update of an earlier era changes nothing.
std::vector<row> apply(table_replica& replica, const replica_update& update);

} // namespace snipeshore::rows
