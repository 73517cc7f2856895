/// @file Result of an attempt at a target, and the decision about a retry.
#pragma once

#include "base/time.h"
#include "base/types/error_kind.h"

#include <cstdint>

namespace snipeshore::retries {

enum class attempt_result : std::uint8_t {
    not_sent,       ///< No byte of the request left this host.
    rejected,       ///< The target reported that it did not run the request.
    broken,         ///< Sent, but no usable response arrived; it may have run.
    timed_out,      ///< Sent, but no response arrived in time; it may have run.
    error_response, ///< A complete response that reports a failure of the target.
};

struct request_progress {
    bool idempotent = false;
    unsigned max_attempts = 1;    ///< Targets that the request may be sent to.
    unsigned sent_attempts = 0;   ///< Attempts in which it was sent to a target.
    unsigned unsent_attempts = 0; ///< Attempts in which nothing was sent.
    bool may_have_run = false;    ///< In any attempt so far, including the last one.
    base::duration time_left{0};  ///< Time until the request's deadline.
    base::duration expected{0};   ///< Typical duration of one attempt.
};

/// Limit of attempts without a connection. Each of them may take as long as the connect timeout.
inline constexpr unsigned max_unsent_attempts = 3;

struct next_step {
    bool retry = false;
    bool needs_budget = false; ///< The retry goes to a further target and spends a token.
    /// Error if there is no retry. For `error_response`, the target's response takes precedence.
    base::error_kind error = base::error_kind::internal;
};

} // namespace snipeshore::retries
