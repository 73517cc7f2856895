/// @file Replica of a published document on one host.
#pragma once

#include "base/types/ids.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace snipeshore::documents {

/// JSON Patch from `version` - 1 to `version`.
struct patch_step {
    std::uint64_t version = 0;
    std::string patch;
};

struct replica {
    base::document_version version; ///< 0: no document is installed.
    std::string text;
    std::string digest;
    std::deque<patch_step> history; ///< Consecutive versions; the last patch produces `version`.
    std::size_t history_bytes = 0;
};

struct replica_limits {
    std::size_t max_patches = 32;
    std::size_t max_patch_bytes = 1U << 20U;
    std::size_t max_text_bytes = 24U << 20U; ///< Below the inner protocol's message size limit.
};

/// Update sent from one host to another: either the whole text or the patches since `base_version`.
struct update {
    base::document_version version;
    base::document_version base_version;
    std::string digest; ///< Digest of the text of `version`; empty if the sender does not know it.
    std::string text;
    std::vector<std::string> patches; ///< One per version.
};

enum class install_outcome : std::uint8_t {
    installed,
    not_newer,   ///< The installed version is the same or higher.
    conflicting, ///< The installed document has the same version and another digest.
    needs_text,  ///< The patches do not apply to the installed version; the whole text is needed.
    invalid,     ///< The text is not JSON, is too long, or does not match the digest.
};

} // namespace snipeshore::documents
