#include "bench/steering_model.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace snipeshore::bench;

// Guards against combinations of faults and differing views in which the sum over all deciders
// exceeds a limit. The checker recomputes every sum from weights and demand, independently of the
// code under test.
TEST_CASE(
    "property: under any schedule of faults, the sum over all deciders stays within the limits")
{
    CHECK(rc::check([] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const schedule_result result = run_schedule(seed, 90, shift_method::decider);
        RC_ASSERT(result.shift_cap_violations == 0U);
        RC_ASSERT(result.region_overload_violations == 0U);
        RC_ASSERT(result.link_violations == 0U);
    }));
}

// Guards against a checker that never reports a violation.
TEST_CASE("the checker reports violations when all traffic is shifted at once")
{
    std::uint64_t cap = 0;
    std::uint64_t overload = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const schedule_result result = run_schedule(seed, 90, shift_method::all_at_once);
        cap += result.shift_cap_violations;
        overload += result.region_overload_violations;
    }
    CHECK(cap > 0);
    CHECK(overload > 0);
}
