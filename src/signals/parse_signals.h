/// @file Parses the headers in which targets say something of themselves.
#pragma once

#include "base/time.h"

#include <chrono>
#include <optional>
#include <string_view>

namespace snipeshore::signals {

/// Longer times are reduced to this one. A target that names more has most likely made an error,
/// and would be lost until it starts again.
inline constexpr std::chrono::hours max_rest{1};

/// Time of a Retry-After header in seconds, which may include a fraction; no value for dates, zero,
/// and other text.
std::optional<base::duration> parse_rest(std::string_view text);

/// Whether the header says that the target leaves; no value if it is unreadable.
std::optional<bool> parse_leaving(std::string_view text);

} // namespace snipeshore::signals
