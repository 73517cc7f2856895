/// @file Token budget for retries and hedges: by default 10% of the requests plus a small constant
/// rate.
#pragma once

#include "base/time.h"
#include "retries/types/retry.h"

namespace snipeshore::retries {

retry_budget make_budget(const budget_settings& settings, base::time_point now);

/// Adds the tokens that a new request earns. Retries and hedges earn none.
void record_request(retry_budget& budget, base::time_point now);

/// Returns whether `try_spend` would succeed.
bool has_budget(const retry_budget& budget, base::time_point now);

/// Spends one token for a retry or hedge. Returns false if there is none.
bool try_spend(retry_budget& budget, base::time_point now);

} // namespace snipeshore::retries
