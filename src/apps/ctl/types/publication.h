/// @file Data types for publishing documents.
#pragma once

#include "config/types/change.h"
#include "documents/types/publication.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace snipeshore::apps {

/// A subcommand's request to publish a document.
struct publication_request {
    std::string document; ///< "config", "keys" or "drains".
    /// Returns the text of the document for the given version.
    std::function<std::string(std::uint64_t version)> make_text;
    /// Version that the change is based on. If set, another version in force is a conflict.
    std::optional<std::uint64_t> base_version;
    std::uint64_t above_version = 0; ///< The new version is higher than this one.
};

enum class publish_outcome {
    published,
    already_in_force, ///< The document in force has the same text; nothing was written.
    conflict,         ///< Another publication came first; this one did not take effect.
    unavailable,      ///< The store is unavailable; this publication did not take effect.
    unknown,          ///< The publication may be in force or take effect later.
    malformed,        ///< The row or an object in the store is malformed, or the text is not JSON.
};

struct publish_report {
    publish_outcome outcome = publish_outcome::unavailable;
    documents::publication in_force; ///< Publication in force, as far as known.
    std::string detail;
    /// Changes made by the other publication, in case of a conflict.
    std::vector<config::change> other_changes;
};

} // namespace snipeshore::apps
