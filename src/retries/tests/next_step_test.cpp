#include "base/error_response.h"
#include "retries/next_step.h"

#include <doctest/doctest.h>

using namespace snipeshore;
using namespace std::chrono_literals;
using retries::attempt_result;

TEST_CASE("decide_next after a failed attempt")
{
    retries::request_progress progress;
    progress.max_attempts = 2;
    progress.sent_attempts = 1;
    progress.time_left = 1s;
    progress.expected = 100ms;
    SUBCASE("a request that may have run is retried only if it is idempotent")
    {
        progress.may_have_run = true;
        CHECK_FALSE(retries::decide_next(attempt_result::broken, progress).retry);
        CHECK_FALSE(retries::decide_next(attempt_result::rejected, progress).retry);
        progress.idempotent = true;
        CHECK(retries::decide_next(attempt_result::broken, progress).retry);
    }
    SUBCASE("no error claims that a request has not run if it may have run")
    {
        progress.may_have_run = true;
        for (const attempt_result end : {attempt_result::not_sent, attempt_result::rejected,
                                         attempt_result::broken, attempt_result::timed_out}) {
            const auto kind = retries::decide_next(end, progress).error;
            CHECK_FALSE(base::response_for(kind).not_run);
        }
    }
    // Guards against a caller that repeats what has run.
    SUBCASE("nor is a target's status passed on that claims so")
    {
        progress.may_have_run = true;
        for (const int status : {408, 421, 429, 503}) {
            CHECK_FALSE(retries::may_pass_on(status, progress));
        }
        for (const int status : {200, 400, 404, 409, 500, 502, 504}) {
            CHECK(retries::may_pass_on(status, progress));
        }
        progress.idempotent = true;
        CHECK(retries::may_pass_on(503, progress));
    }
    SUBCASE("a rejected request is retried within the limit of attempts and the budget")
    {
        const auto step = retries::decide_next(attempt_result::rejected, progress);
        CHECK(step.retry);
        CHECK(step.needs_budget);
        progress.sent_attempts = 2;
        const auto last = retries::decide_next(attempt_result::rejected, progress);
        CHECK_FALSE(last.retry);
        CHECK(base::response_for(last.error).not_run);
    }
    SUBCASE("attempts that sent nothing are limited and need no budget")
    {
        progress.sent_attempts = 0;
        progress.unsent_attempts = 1;
        const auto step = retries::decide_next(attempt_result::not_sent, progress);
        CHECK(step.retry);
        CHECK_FALSE(step.needs_budget);
        progress.unsent_attempts = retries::max_unsent_attempts;
        CHECK_FALSE(retries::decide_next(attempt_result::not_sent, progress).retry);
    }
    SUBCASE("a retry that could not finish in time is not sent")
    {
        progress.time_left = 50ms;
        CHECK_FALSE(retries::decide_next(attempt_result::rejected, progress).retry);
    }
}
