/// @file Rows of the tables in the store.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace snipeshore::rows {

struct row {
    std::string key;
    std::string value;
    std::uint64_t version = 0; ///< Increases with every change within an era of the store.
    bool removed = false;
    std::uint64_t changed = 0; ///< Version of the last change that did not only repeat the row.
};

/// Page of the rows of a table or of its changes.
struct page {
    std::vector<row> rows;
    bool has_more = false;
    std::uint64_t version = 0; ///< Newest version in the store at the time of the response.
    /// The source delivers changes as they arrive, so the next call is made without a pause.
    bool is_pushed = false;
    /// Rises each time the store is restored to an earlier state. From then on it gives out
    /// versions again, so versions of different eras cannot be compared. 0: the store has no eras.
    std::uint64_t era = 0;
    /// Since when another host, which sent the page, has had contact with the store; unset if the
    /// store sent it.
    std::optional<base::time_point> store_reachable_since;
};

} // namespace snipeshore::rows
