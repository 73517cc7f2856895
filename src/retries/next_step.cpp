#include "retries/next_step.h"

#include <algorithm>
#include <array>

namespace snipeshore::retries {

namespace {

bool has_attempt_left(attempt_result end, const request_progress& progress)
{
    if (end == attempt_result::not_sent && progress.sent_attempts == 0) {
        return progress.unsent_attempts < max_unsent_attempts;
    }
    return progress.sent_attempts < progress.max_attempts &&
           progress.unsent_attempts < max_unsent_attempts;
}

/// 408, 421, 429 and 503.
bool says_not_run(int status)
{
    constexpr std::array<int, 4> statuses{408, 421, 429, 503};
    return std::find(statuses.begin(), statuses.end(), status) != statuses.end();
}

} // namespace

bool may_pass_on(int status, const request_progress& progress)
{
    return progress.idempotent || !progress.may_have_run || !says_not_run(status);
}

base::error_kind final_error(attempt_result end, bool may_have_run)
{
    if (!may_have_run) {
        return end == attempt_result::not_sent ? base::error_kind::connect_failed
                                               : base::error_kind::no_target;
    }
    return end == attempt_result::timed_out ? base::error_kind::deadline_exceeded
                                            : base::error_kind::target_failed;
}

next_step decide_next(attempt_result end, const request_progress& progress)
{
    next_step step;
    step.error = final_error(end, progress.may_have_run);
    step.needs_budget = progress.sent_attempts > 0;
    step.retry = (progress.idempotent || !progress.may_have_run) &&
                 progress.time_left > progress.expected && has_attempt_left(end, progress);
    return step;
}

} // namespace snipeshore::retries
