/// @file Consistency checks across the sections of a configuration document.
#pragma once

#include "config/internal/problems.h"
#include "config/types/document.h"

namespace snipeshore::config::internal {

/// Adds a problem for each inconsistency. The document must have passed the schema check.
void cross_check(const document& checked, problem_collector& problems);

} // namespace snipeshore::config::internal
