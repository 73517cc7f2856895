/// @file Decisions whether to send a request to another target.
#pragma once

#include "base/time.h"
#include "retries/types/retry.h"

namespace snipeshore::retries {

/// Attempts of one request, the first included.
inline constexpr unsigned max_attempts = 3;

/// Decides after a failed attempt; a retry is taken out of the budget.
retry_decision decide_retry(const failed_attempt& last, retry_budget& budget, base::time_point now);

/// Decides whether to send a second copy of a slow request; it is taken out of the budget.
hedge_decision decide_hedge(const slow_request& request, retry_budget& budget,
                            base::time_point now);

} // namespace snipeshore::retries
