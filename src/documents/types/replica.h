/// @file A published document as one host holds it.
#pragma once

#include "base/types/ids.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace snipeshore::documents {

/// JSON Patch that leads from `version` - 1 to `version`.
struct patch_step {
    std::uint64_t version = 0;
    std::string patch;
};

struct replica {
    base::document_version version; ///< 0: nothing is installed.
    std::string text;
    std::string digest;
    std::deque<patch_step> history; ///< Consecutive versions; the last one leads to `version`.
    std::size_t history_bytes = 0;
};

struct replica_limits {
    std::size_t max_patches = 32;
    std::size_t max_patch_bytes = 1U << 20U;
    std::size_t max_text_bytes = 24U << 20U; ///< Below the message limit of the inner protocol.
};

/// What one host gives another: either the whole text or the patches from `base_version` on.
struct update {
    base::document_version version;
    base::document_version base_version;
    std::string digest; ///< Of the text of `version`; empty if the sender does not know it.
    std::string text;
    std::vector<std::string> patches; ///< One per version.
};

enum class install_outcome : std::uint8_t {
    installed,
    not_newer,   ///< The version in force is the same or a higher one.
    conflicting, ///< The version in force has the same number and another digest.
    needs_text,  ///< The patches do not lead from the version in force to the text.
    invalid,     ///< The text is not JSON, too long, or does not have the digest.
};

} // namespace snipeshore::documents
