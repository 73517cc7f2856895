/// @file Tells requests that end their targets from those that are there by chance.
#pragma once

#include "crash_evidence/crash_watch.h"

#include <vector>

namespace snipeshore::crash_evidence {

/// Whether the request ends its targets: three did so one after the other, without a response in
/// between, and neither other runs of it nor other requests at these targets speak against it.
/// `runs` are those that ended their targets.
bool is_culprit(const crash_watch& watch, const suspect& one, std::vector<broken_request> runs);

} // namespace snipeshore::crash_evidence
