/// @file Finds out what delayed a response.
#pragma once

#include "base/time.h"
#include "retries/types/response_progress.h"

#include <string_view>

namespace snipeshore::retries {

delay_cause find_delay_cause(const response_progress& progress, base::time_point now);

/// Name for logs and metrics.
std::string_view to_string(delay_cause cause);

/// One sentence part for error details.
std::string_view describe(delay_cause cause);

} // namespace snipeshore::retries
