#include "retries/decide.h"

#include "base/error_response.h"
#include "retries/retry_budget.h"

namespace snipeshore::retries {

namespace {

using base::error_kind;

/// Kind to answer with: never "not run" once a byte was sent.
error_kind final_kind(const failed_attempt& last)
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
    const retry_decision give_up{false, final_kind(last)};
    if (!may_run_again(last) || !is_worth_retrying(last.failure)) {
        return give_up;
    }
    if (last.attempts >= max_attempts || now + last.expected >= last.deadline) {
        return give_up;
    }
    if (!try_spend(budget, now)) {
        return give_up;
    }
    return {true, last.failure};
}

hedge_decision decide_hedge(const slow_request& request, retry_budget& budget, base::time_point now)
{
    const hedge_decision never{false, request.deadline};
    const bool is_allowed = request.idempotent && request.hedge && !request.hedged &&
                            !request.bytes_delivered && request.p95.count() > 0;
    if (!is_allowed) {
        return never;
    }
    const base::time_point due = request.sent + request.p95;
    if (now < due) {
        return {false, due < request.deadline ? due : request.deadline};
    }
    // A copy that is expected to end after the deadline only adds load.
    if (now + request.p95 >= request.deadline || !try_spend(budget, now)) {
        return never;
    }
    return {true, request.deadline};
}

} // namespace snipeshore::retries
