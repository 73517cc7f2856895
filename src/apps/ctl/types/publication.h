/// @file Publications of a document, as plain structs.
#pragma once

#include "config/types/change.h"
#include "documents/types/publication.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace snipeshore::apps {

/// What a subcommand wants to publish.
struct publish_order {
    std::string document; ///< "config", "keys" or "drains".
    /// Text of the document as the given version.
    std::function<std::string(std::uint64_t version)> text_for;
    std::optional<std::uint64_t> base; ///< Version that the change was made from, if it matters.
    std::uint64_t above = 0;           ///< The new version is higher than this one.
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
    documents::publication now; ///< Publication in force, as far as it is known.
    std::string detail;
    /// On a conflict: what the other publication changed.
    std::vector<config::change> other_changes;
};

} // namespace snipeshore::apps
