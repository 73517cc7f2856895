#include "retries/decide.h"

#include "base/error_response.h"
#include "retries/retry_budget.h"

namespace snipeshore::retries {

namespace {

using base::error_kind;

/// Error kind for the caller. Never one that says "not run" if a byte of the request was sent.
error_kind final_error_kind(const failed_attempt& last)
{
    if (!last.bytes_sent || !base::response_for(last.failure).not_run) {
        return last.idempotent || !last.bytes_sent ? last.failure : error_kind::outcome_unknown;
    }
    return last.idempotent ? error_kind::target_failed : error_kind::outcome_unknown;
}

bool may_run_again(const failed_attempt& last)
{
    return !last.bytes_delivered && (last.idempotent || !last.bytes_sent);
}

bool is_worth_retrying(error_kind failure)
{
    return failure == error_kind::connect_failed || failure == error_kind::target_failed ||
           failure == error_kind::answer_invalid || failure == error_kind::overloaded;
}

} // namespace

retry_decision decide_retry(const failed_attempt& last, retry_budget& budget, base::time_point now)
{
    const retry_decision no_retry{false, final_error_kind(last)};
    if (!may_run_again(last) || !is_worth_retrying(last.failure)) {
        return no_retry;
    }
    if (last.attempts >= max_attempts || now + last.expected >= last.deadline) {
        return no_retry;
    }
    if (!try_spend(budget, now)) {
        return no_retry;
    }
    return {true, last.failure};
}

hedge_decision decide_hedge(const slow_request& request, retry_budget& budget, base::time_point now)
{
    const hedge_decision no_hedge{false, request.deadline};
    const bool is_allowed = request.idempotent && request.hedge && !request.hedged &&
                            !request.bytes_delivered && request.p95.count() > 0;
    if (!is_allowed) {
        return no_hedge;
    }
    const base::time_point hedge_at = request.sent + request.p95;
    if (now < hedge_at) {
        return {false, hedge_at < request.deadline ? hedge_at : request.deadline};
    }
    // A hedge that is expected to finish after the deadline would only add load.
    if (now + request.p95 >= request.deadline || !try_spend(budget, now)) {
        return no_hedge;
    }
    return {true, request.deadline};
}

} // namespace snipeshore::retries
