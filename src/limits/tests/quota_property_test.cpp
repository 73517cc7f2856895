#include "bench/models/share_faults.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace snipeshore;

// Guards against fault schedules in which the hosts together admit, or could admit, more than the
// reference model, one central token bucket. `bench_share_quota` runs 1,000 schedules.
TEST_CASE("shares never admit more than one central bucket")
{
    CHECK(rc::check("in every window at most rate * window + burst", [] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const bench_models::outcome_counts counts = bench_models::run_fault_schedule(seed);
        RC_ASSERT(counts.overruns == 0U);
        RC_ASSERT(counts.sums_above_limit == 0U);
        RC_ASSERT(counts.admitted > 0U);
    }));
}
