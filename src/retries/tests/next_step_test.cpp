#include "base/error_response.h"
#include "retries/next_step.h"

#include <doctest/doctest.h>

using namespace snipeshore;
using namespace std::chrono_literals;
using retries::attempt_end;

TEST_CASE("what follows a failed attempt")
{
    retries::request_progress progress;
    progress.max_attempts = 2;
    progress.sent = 1;
    progress.left = 1s;
    progress.expected = 100ms;
    SUBCASE("a request that may have run never runs again unless it is idempotent")
    {
        progress.may_have_run = true;
        CHECK_FALSE(retries::decide_next(attempt_end::broken, progress).retry);
        CHECK_FALSE(retries::decide_next(attempt_end::rejected, progress).retry);
        progress.idempotent = true;
        CHECK(retries::decide_next(attempt_end::broken, progress).retry);
    }
    SUBCASE("no answer after a possible run says that the request has not run")
    {
        progress.may_have_run = true;
        for (const attempt_end end : {attempt_end::not_sent, attempt_end::rejected,
                                      attempt_end::broken, attempt_end::timed_out}) {
            const auto kind = retries::decide_next(end, progress).answer;
            CHECK_FALSE(base::response_for(kind).not_run);
        }
    }
    SUBCASE("a rejected request goes to another target, within the attempts and the budget")
    {
        const auto step = retries::decide_next(attempt_end::rejected, progress);
        CHECK(step.retry);
        CHECK(step.needs_budget);
        progress.sent = 2;
        const auto last = retries::decide_next(attempt_end::rejected, progress);
        CHECK_FALSE(last.retry);
        CHECK(base::response_for(last.answer).not_run);
    }
    SUBCASE("attempts that sent nothing are bounded and cost no budget")
    {
        progress.sent = 0;
        progress.unsent = 1;
        const auto step = retries::decide_next(attempt_end::not_sent, progress);
        CHECK(step.retry);
        CHECK_FALSE(step.needs_budget);
        progress.unsent = retries::max_unsent;
        CHECK_FALSE(retries::decide_next(attempt_end::not_sent, progress).retry);
    }
    SUBCASE("a retry that could not finish in time is not sent")
    {
        progress.left = 50ms;
        CHECK_FALSE(retries::decide_next(attempt_end::rejected, progress).retry);
    }
}
