/// @file Text, digest and patches of JSON documents.
#pragma once

#include "base/result.h"

#include <string>
#include <string_view>
#include <vector>

namespace snipeshore::documents {

/// The one form in which a document is published: compact with sorted keys, as
/// `config::to_text` writes it. Patches reproduce it byte for byte.
base::result<std::string> canonical_text(std::string_view text);

/// BLAKE2b-256, in hexadecimal digits.
std::string digest_of(std::string_view text);

bool is_json(std::string_view text);

/// JSON Patch from one text to another.
base::result<std::string> patch_between(std::string_view from, std::string_view to);

/// Applies patches in order; the result is canonical.
base::result<std::string> apply_patches(std::string_view text,
                                        const std::vector<std::string_view>& patches);

/// JSON pointers of what differs, at the places that a JSON Patch names.
std::vector<std::string> changed_paths(std::string_view from, std::string_view to);

} // namespace snipeshore::documents
