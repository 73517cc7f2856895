/// @file Inputs and outcomes of retry and hedging decisions.
#pragma once

#include "base/time.h"
#include "base/types/error_kind.h"

#include <chrono>
#include <cstdint>

namespace snipeshore::retries {

struct budget_settings {
    double tokens_per_request = 0.1; ///< Retries earned by a request.
    double floor_tokens_per_second =
        1;                        ///< Earned without requests, so that small services can retry.
    double max_tokens = 100;      ///< Limits a wave of retries after a quiet period.
    double max_floor_tokens = 10; ///< The floor does not add above this.
};

/// Retries that may be sent now.
struct retry_budget {
    budget_settings settings;
    double tokens = 0;
    base::time_point refilled;
};

/// A request after one of its attempts failed.
struct failed_attempt {
    bool idempotent = false;      ///< From the route.
    bool bytes_sent = false;      ///< A byte of the request was written to any target.
    bool bytes_delivered = false; ///< A byte of the response was delivered to the caller.
    base::time_point deadline;
    base::duration expected{0}; ///< Typical time of one attempt; less left time is not enough.
    unsigned attempts = 1;      ///< Made so far.
    base::error_kind failure = base::error_kind::connect_failed; ///< Of the last attempt.
};

struct retry_decision {
    bool retry = false;
    base::error_kind kind = base::error_kind::internal; ///< Answer to the caller if not `retry`.
};

/// A request that has no response yet.
struct slow_request {
    bool idempotent = false;
    bool hedge = false; ///< From the route.
    bool hedged = false;
    bool bytes_delivered = false;
    base::time_point sent;
    base::time_point deadline;
    base::duration p95{0}; ///< Of the service; 0: unknown.
};

struct hedge_decision {
    bool hedge = false;
    base::time_point next_check; ///< If not `hedge`: when to ask again; the deadline means never.
};

} // namespace snipeshore::retries
