/// @file Data types for publishing a document through the platform's table.
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
    /// Ids of earlier publications, newest first. A publisher that lost the reply to its write
    /// finds its own publication here after others have followed.
    std::vector<std::string> previous_ids;
};

/// Row as read from the store; has no record if the row does not exist.
struct published_row {
    std::uint64_t row_version = 0;
    std::optional<publication> record;
    std::uint64_t store_era = 0; ///< Number of restorations of the store before the row was read.
};

/// An operator's request to publish a document.
struct publish_request {
    std::string id;
    base::document_version edited_from; ///< Version that the operator edited; 0: none.
    std::string text;
};

/// What a publication writes: the objects first, then the row.
struct publish_plan {
    std::uint64_t expected_row_version = 0;
    std::uint64_t store_era = 0; ///< The write must have no effect in another era.
    publication record;
    std::string text;
    std::string patch; ///< From the previous version; empty if its text is unknown or its number is
                       ///< not one lower.
};

/// Paths (JSON pointers) that have changed since the version that the operator edited.
struct publish_conflict {
    base::document_version in_force;
    std::vector<std::string> changed_by_others;
    std::vector<std::string> changed_by_both;
};

enum class publish_step : std::uint8_t {
    published,
    read_row,   ///< The outcome of the write is unknown: read the row and compare.
    write_row,  ///< The write had no effect so far; the same conditional write is safe to repeat.
    plan_again, ///< The store was restored after the row was read for the plan.
    conflict,   ///< Another publication came first.
    failed,     ///< The write had no effect because of an error, such as an unavailable store.
};

enum class store_state : std::uint8_t {
    same,
    newer,    ///< The store has a higher version, which has to be fetched.
    older,    ///< The store has a lower version than the fleet because it was restored to an older
              ///< state.
    diverged, ///< The store has the same version as the fleet, with another digest.
};

} // namespace snipeshore::documents
