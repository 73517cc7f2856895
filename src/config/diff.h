/// @file Readable differences between two documents.
#pragma once

#include "config/types/change.h"
#include "config/types/document.h"

#include <string>
#include <string_view>
#include <vector>

namespace snipeshore::config {

std::vector<change> diff(const document& before, const document& after);

/// Compares the texts of two published documents of any kind. A text that is not JSON is compared
/// as one string.
std::vector<change> diff_texts(std::string_view before, std::string_view after);

/// One line per change: "+ path: value", "- path: value" or "~ path: before -> after".
std::string to_text(const std::vector<change>& changes);

} // namespace snipeshore::config
