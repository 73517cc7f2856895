/// @file Publishing a document through the platform's table.
#pragma once

#include "base/types/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace snipeshore::documents {

/// Value of the row `documents/<name>`.
struct publication {
    base::document_version version;
    std::string digest;
    std::string id; ///< Unique per publication.
    /// Ids of the publications before, the latest first, so that a publisher whose reply was lost
    /// recognises its own one after others followed.
    std::vector<std::string> previous_ids;
};

/// Row as it was read; without a record if there is no row.
struct published_row {
    std::uint64_t row_version = 0;
    std::optional<publication> record;
};

/// What an operator wants to publish.
struct publish_request {
    std::string id;
    base::document_version edited_from; ///< Version that the operator started from; 0: none.
    std::string text;
};

/// Objects to write first, then the row.
struct publish_plan {
    std::uint64_t expected_row_version = 0;
    publication record;
    std::string text;
    std::string patch; ///< From the version before; empty if that is not known or not adjacent.
};

/// Paths (JSON pointers) that changed since the version the operator started from.
struct publish_conflict {
    base::document_version in_force;
    std::vector<std::string> changed_by_others;
    std::vector<std::string> changed_by_both;
};

enum class publish_step : std::uint8_t {
    published,
    read_row,  ///< The outcome of the write is not known: read the row and compare.
    write_row, ///< The write has had no effect; the same conditional write is safe to repeat.
    conflict,  ///< Another publication came first.
    failed,    ///< The write had no effect and the store does not answer.
};

enum class store_state : std::uint8_t {
    same,
    newer,    ///< The store has a version to fetch.
    older,    ///< The store has a lower version than the fleet: it was restored to an older state.
    diverged, ///< The store has the fleet's version with another digest.
};

} // namespace snipeshore::documents
