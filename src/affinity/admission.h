/// @file Admission control: refuses requests that would probably finish too late.
#pragma once

#include "affinity/types/admission.h"

namespace snipeshore::affinity {

/// Admits requests that will probably meet their latency objective. The more urgent a request, the
/// longer it may wait, so that less urgent requests are refused first. An early refusal costs the
/// caller less than a late response, and keeps the target free for requests that finish in time.
admission admit(const admission_inputs& request);

} // namespace snipeshore::affinity
