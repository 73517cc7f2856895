/// @file How an attempt at a target ended, and what the request does next.
#pragma once

#include "base/time.h"
#include "base/types/error_kind.h"

#include <cstdint>

namespace snipeshore::retries {

enum class attempt_result : std::uint8_t {
    not_sent,       ///< No byte of the request left this host.
    rejected,       ///< The target said that it did not run the request.
    broken,         ///< Sent, and no usable response came; it may have run.
    timed_out,      ///< Sent, and no response came in time; it may have run.
    error_response, ///< A whole response that reports a failure of the target.
};

struct request_progress {
    bool idempotent = false;
    unsigned max_attempts = 1;    ///< Targets that the request may be sent to.
    unsigned sent_attempts = 0;   ///< Targets that it was sent to.
    unsigned unsent_attempts = 0; ///< Attempts that sent nothing.
    bool may_have_run = false;    ///< After any attempt so far, the last one included.
    base::duration time_left{0};  ///< Until the request's deadline.
    base::duration expected{0};   ///< Typical time of one attempt.
};

/// Attempts without a connection after which the request is refused: each may take the connect
/// timeout.
inline constexpr unsigned max_unsent_attempts = 3;

struct next_step {
    bool retry = false;
    bool needs_budget = false; ///< The retry reaches a second target and counts in the budget.
    /// Answer if there is no retry. For `error_response` the target's own response goes first.
    base::error_kind error = base::error_kind::internal;
};

} // namespace snipeshore::retries
