/// @file Decides whether to retry or hedge a request on another target.
#pragma once

#include "base/time.h"
#include "retries/types/retry.h"

namespace snipeshore::retries {

/// Limit of attempts of one request, including the first.
inline constexpr unsigned max_attempts = 3;

/// Decides whether to retry after a failed attempt. A retry spends one token of the budget.
retry_decision decide_retry(const failed_attempt& last, retry_budget& budget, base::time_point now);

/// Decides whether to send a hedge, a second copy of a slow request. A hedge spends one token of
/// the budget.
hedge_decision decide_hedge(const slow_request& request, retry_budget& budget,
                            base::time_point now);

} // namespace snipeshore::retries
