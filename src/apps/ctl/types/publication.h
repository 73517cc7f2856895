/// @file Publications of a document, as plain structs.
#pragma once

#include "config/types/change.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace snipeshore::apps {

/// Value of the row `documents/NAME`. Version 0 means that nothing has been published.
struct publication {
    std::uint64_t version = 0;
    std::string digest;
    std::string publication_id; ///< Random; tells two publications of the same version apart.
};

/// A publication together with the version of the row that names it.
struct published_state {
    std::uint64_t row_version = 0;
    publication current;
};

struct publish_request {
    std::string document; ///< "config", "keys" or "drains".
    /// Text of the document as the given version.
    std::function<std::string(std::uint64_t version)> text_for;
    std::optional<std::uint64_t> base; ///< Version that the change was made from, if it matters.
    std::uint64_t above = 0;           ///< The new version is higher than this one.
};

/// What a publication writes. The row is written last, on condition of `expected_row_version`.
struct write_plan {
    publication next;
    std::string text;
    std::uint64_t base_version = 0;
    std::uint64_t expected_row_version = 0;
};

enum class publish_outcome {
    published,
    already_in_force, ///< The document in force is equal; nothing was written.
    conflict,         ///< Another publication came first; nothing of this one is in force.
    unavailable,      ///< The store does not answer; nothing of this publication is in force.
    unknown,          ///< The publication may be in force or take effect later.
    malformed,        ///< The row or an object in the store cannot be read.
};

struct publish_report {
    publish_outcome outcome = publish_outcome::unavailable;
    publication now;  ///< Publication in force, as far as it is known.
    std::string text; ///< Text that was published, if any.
    std::string detail;
    /// On a conflict: what the other publication changed.
    std::vector<config::change> other_changes;
};

} // namespace snipeshore::apps
