/// @file Decides what follows a failed attempt: an attempt at another target, or an error.
#pragma once

#include "retries/types/next_step.h"

namespace snipeshore::retries {

/// Decides whether a request is retried. A non-idempotent request is retried only if no target can
/// have run it.
next_step decide_next(attempt_result end, const request_progress& progress);

/// Returns the error of a request that ends without a retry. It never says "not run" if the request
/// may have run.
base::error_kind final_error(attempt_result end, bool may_have_run);

} // namespace snipeshore::retries
