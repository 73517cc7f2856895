/// @file Decides what follows a failed attempt: an attempt at another target, or an error.
#pragma once

#include "retries/types/next_step.h"

namespace snipeshore::retries {

/// Whether a target's response may be passed on to the caller. Some statuses tell callers that the
/// request has not run and never will. Of a request that may have run that is false, and the caller
/// of a non-idempotent one would repeat it.
bool may_pass_on(int status, const request_progress& progress);

/// Decides whether a request is retried. A non-idempotent request is retried only if no target can
/// have run it.
next_step decide_next(attempt_result end, const request_progress& progress);

/// Returns the error of a request that ends without a retry. It never says "not run" if the request
/// may have run.
base::error_kind final_error(attempt_result end, bool may_have_run);

} // namespace snipeshore::retries
