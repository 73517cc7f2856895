#include "retries/response_progress.h"

#include <doctest/doctest.h>

using namespace snipeshore;
using namespace snipeshore::retries;
using namespace std::chrono_literals;

// Guards against targets that are ejected because their callers read slowly, and against callers
// that are blamed for a target that has stopped sending.
TEST_CASE("the cause of a response that is incomplete at its deadline")
{
    const base::time_point deadline{100s};
    response_progress progress;
    SUBCASE("is the target before the response has begun")
    {
        CHECK(find_delay_cause(progress, deadline) == delay_cause::silent_target);
    }
    SUBCASE("is the target if nothing arrives any more")
    {
        progress.last_byte_at = deadline - 2s;
        CHECK(find_delay_cause(progress, deadline) == delay_cause::silent_target);
        SUBCASE("also behind an earlier pause")
        {
            progress.pauses.was_paused = true;
            progress.pauses.resumed_at = deadline - 1s;
            CHECK(find_delay_cause(progress, deadline) == delay_cause::silent_target);
        }
        SUBCASE("unless reading has just been resumed")
        {
            progress.pauses.was_paused = true;
            progress.pauses.resumed_at = deadline - 100ms;
            CHECK(find_delay_cause(progress, deadline) == delay_cause::slow_caller);
        }
    }
    SUBCASE("is the pace of the target while bytes arrive")
    {
        progress.last_byte_at = deadline - 100ms;
        CHECK(find_delay_cause(progress, deadline) == delay_cause::slow_target);
    }
    SUBCASE("is the caller while reading is paused")
    {
        progress.last_byte_at = deadline - 2s;
        progress.pauses = {true, true, {}};
        CHECK(find_delay_cause(progress, deadline) == delay_cause::slow_caller);
    }
}
