/// @file Checks between the parts of a configuration document.
#pragma once

#include "config/internal/problems.h"
#include "config/types/document.h"

namespace snipeshore::config::internal {

/// The document has passed the schema check.
void cross_check(const document& checked, problem_collector& problems);

} // namespace snipeshore::config::internal
