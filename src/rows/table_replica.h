/// @file Copy of a table that never goes backwards, whatever order its sources are read in.
#pragma once

#include "rows/types/row.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace snipeshore::rows {

/// Rows by key, with the versions of removed ones, so that an older state cannot bring them back.
struct table_replica {
    /// Whether a row only repeats the one before, as a regular report does: such changes are not
    /// passed on. Null: none does.
    std::function<bool(const row& before, const row& after)> is_repeat;
    std::map<std::string, row> rows; ///< Removed ones stay as markers without a value.
    std::uint64_t version = 0;       ///< All changes up to it are known.
    /// Markers of rows removed up to here may be missing: the first full read saw only what was
    /// left.
    std::uint64_t first_version = 0;
};

/// Takes changed rows, of the store or of a peer, and returns those that were news.
std::vector<row> merge(table_replica& replica, const std::vector<row>& changes);

/// Takes the whole table as it was at `version`; rows that it lacks count as removed then. Returns
/// what changed.
std::vector<row> replace(table_replica& replica, const std::vector<row>& all,
                         std::uint64_t version);

/// What another copy at version `after` lacks.
struct replica_update {
    std::uint64_t version = 0;
    bool is_full = false; ///< All rows, and not only changes.
    std::vector<row> rows;
};

/// Changes in the order of versions, removed rows included, or the whole table if the changes are
/// not all known.
replica_update update_after(const table_replica& replica, std::uint64_t after);

/// Takes an update of a peer and returns what changed.
std::vector<row> apply(table_replica& replica, const replica_update& update);

} // namespace snipeshore::rows
