/// @file Canonical text, digest and patches of JSON documents.
#pragma once

#include "base/result.h"

#include <string>
#include <string_view>
#include <vector>

namespace snipeshore::documents {

/// Canonical form in which documents are published: compact JSON with sorted keys, the same as the
/// output of `config::to_text`. Applying patches reproduces it byte for byte.
base::result<std::string> canonical_text(std::string_view text);

/// BLAKE2b-256, in hexadecimal digits.
std::string digest_of(std::string_view text);

bool is_json(std::string_view text);

/// JSON Patch from one text to another.
base::result<std::string> patch_between(std::string_view from, std::string_view to);

/// Applies patches in order; returns canonical text.
base::result<std::string> apply_patches(std::string_view text,
                                        const std::vector<std::string_view>& patches);

/// Sorted JSON pointers of the differences: the paths of the JSON Patch between the texts.
std::vector<std::string> changed_paths(std::string_view from, std::string_view to);

} // namespace snipeshore::documents
