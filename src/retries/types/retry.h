/// @file Inputs and outcomes of retry and hedging decisions.
#pragma once

#include "base/time.h"
#include "base/types/error_kind.h"

#include <chrono>
#include <cstdint>

namespace snipeshore::retries {

struct budget_settings {
    double tokens_per_request = 0.1; ///< Tokens earned by a request.
    /// Tokens earned without requests, so that services with few requests can retry.
    double floor_tokens_per_second = 1;
    double max_tokens = 100;      ///< Limits the burst of retries after a quiet period.
    double max_floor_tokens = 10; ///< `floor_tokens_per_second` adds tokens only up to this.
};

/// Token bucket. Each retry or hedge spends one token.
struct retry_budget {
    budget_settings settings;
    double tokens = 0;
    base::time_point refilled;
};

/// A request after one of its attempts failed.
struct failed_attempt {
    bool idempotent = false;      ///< As configured for the route.
    bool bytes_sent = false;      ///< A byte of the request was written to any target.
    bool bytes_delivered = false; ///< A byte of the response was delivered to the caller.
    base::time_point deadline;
    /// Typical duration of one attempt. There is no retry unless more time is left.
    base::duration expected{0};
    unsigned attempts = 1;                                       ///< Attempts so far.
    base::error_kind failure = base::error_kind::connect_failed; ///< Error of the last attempt.
};

struct retry_decision {
    bool retry = false;
    base::error_kind kind = base::error_kind::internal; ///< Error for the caller if not `retry`.
};

/// A request that is waiting for its response.
struct slow_request {
    bool idempotent = false;
    bool hedge = false;  ///< As configured for the route.
    bool hedged = false; ///< A hedge was already sent.
    bool bytes_delivered = false;
    base::time_point sent;
    base::time_point deadline;
    base::duration p95{0}; ///< 95th percentile of the service's latency; 0: unknown.
};

struct hedge_decision {
    bool hedge = false;
    base::time_point next_check; ///< If not `hedge`: when to decide again; deadline: never.
};

} // namespace snipeshore::retries
