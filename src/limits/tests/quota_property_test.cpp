#include "bench/models/share_faults.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace snipeshore;

// Guards against any schedule of faults in which hosts together admit more than the naive version,
// one central token bucket, or could do so. `bench_share_quota` runs 1,000 schedules.
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
