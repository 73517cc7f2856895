/// @file Rows of the store's tables.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace snipeshore::rows {

struct row {
    std::string key;
    std::string value;
    std::uint64_t version = 0; ///< Grows with every change in the store.
    bool removed = false;
    std::uint64_t changed = 0; ///< Version of the last change that was no mere repeat.
};

/// Part of a table, or of its changes.
struct page {
    std::vector<row> rows;
    bool has_more = false;
    std::uint64_t version = 0; ///< Newest version in the store when it answered.
    /// The source passes changes on when they come: it is asked again without a pause.
    bool is_pushed = false;
};

} // namespace snipeshore::rows
