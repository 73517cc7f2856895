/// @file Whether a request goes to another target, and which answer is true if it does not.
#pragma once

#include "retries/types/next_step.h"

namespace snipeshore::retries {

/// A request that runs at most once goes on only if no target can have run it.
next_step decide_next(attempt_result end, const request_progress& progress);

/// The true answer of a request that ends now.
base::error_kind final_error(attempt_result end, bool may_have_run);

} // namespace snipeshore::retries
