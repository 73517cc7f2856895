/// @file Which requests are refused at once because they would be late.
#pragma once

#include "affinity/types/admission.h"

namespace snipeshore::affinity {

/// Admits what will probably meet its objective. The more urgent a request, the longer it may wait,
/// so that the less urgent ones are refused first. A refusal costs the caller less than an answer
/// that comes too late, and leaves the target to those that are in time.
admission admit(const admission_inputs& request);

} // namespace snipeshore::affinity
