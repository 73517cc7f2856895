/// @file Budget of retries and hedges: 10% of requests plus a small floor.
#pragma once

#include "base/time.h"
#include "retries/types/retry.h"

namespace snipeshore::retries {

retry_budget make_budget(const budget_settings& settings, base::time_point now);

/// Counts a new request; retries and hedges are not counted.
void record_request(retry_budget& budget, base::time_point now);

/// Whether `try_spend` would succeed.
bool has_budget(const retry_budget& budget, base::time_point now);

/// Takes one retry out of the budget. False if there is none.
bool try_spend(retry_budget& budget, base::time_point now);

} // namespace snipeshore::retries
