#include "retries/next_step.h"

namespace snipeshore::retries {

namespace {

bool has_attempt_left(attempt_end end, const request_progress& progress)
{
    if (end == attempt_end::not_sent && progress.sent == 0) {
        return progress.unsent < max_unsent;
    }
    return progress.sent < progress.max_attempts && progress.unsent < max_unsent;
}

} // namespace

base::error_kind final_answer(attempt_end end, bool may_have_run)
{
    if (!may_have_run) {
        return end == attempt_end::not_sent ? base::error_kind::connect_failed
                                            : base::error_kind::no_target;
    }
    return end == attempt_end::timed_out ? base::error_kind::deadline_exceeded
                                         : base::error_kind::target_failed;
}

next_step decide_next(attempt_end end, const request_progress& progress)
{
    next_step step;
    step.answer = final_answer(end, progress.may_have_run);
    step.needs_budget = progress.sent > 0;
    step.retry = (progress.idempotent || !progress.may_have_run) &&
                 progress.left > progress.expected && has_attempt_left(end, progress);
    return step;
}

} // namespace snipeshore::retries
