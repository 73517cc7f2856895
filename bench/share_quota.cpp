/// @file Runs seeded fault schedules and checks that no account is admitted more than
/// rate * window + burst requests in any window.
#include "bench/models/share_faults.h"

#include <array>
#include <cstdio>
#include <thread>
#include <vector>

using namespace snipeshore;

namespace {

constexpr std::uint64_t first_seed = 1;
constexpr std::uint64_t schedules = 1000;
constexpr std::uint64_t workers = 4;

bench_models::outcome_counts run_worker(std::uint64_t worker)
{
    bench_models::outcome_counts sum;
    for (std::uint64_t seed = first_seed + worker; seed < first_seed + schedules; seed += workers) {
        const bench_models::outcome_counts counts = bench_models::run_fault_schedule(seed);
        sum.overruns += counts.overruns;
        sum.sums_above_limit += counts.sums_above_limit;
        sum.admitted += counts.admitted;
        sum.requests += counts.requests;
        if (counts.overruns + counts.sums_above_limit > 0) {
            std::fprintf(stderr, "share_quota: seed %llu: %zu admissions, %zu sums above limits\n",
                         static_cast<unsigned long long>(seed), counts.overruns,
                         counts.sums_above_limit);
        }
    }
    return sum;
}

} // namespace

int main()
{
    std::array<bench_models::outcome_counts, workers> worker_counts{};
    std::vector<std::thread> threads;
    for (std::uint64_t worker = 0; worker < workers; ++worker) {
        threads.emplace_back(
            [&worker_counts, worker] { worker_counts.at(worker) = run_worker(worker); });
    }
    for (std::thread& each : threads) {
        each.join();
    }
    bench_models::outcome_counts sum;
    for (const bench_models::outcome_counts& worker : worker_counts) {
        sum.overruns += worker.overruns;
        sum.sums_above_limit += worker.sums_above_limit;
        sum.admitted += worker.admitted;
        sum.requests += worker.requests;
    }
    const bool pass = sum.overruns == 0 && sum.sums_above_limit == 0;
    std::printf("bench quota_overrun %zu requests 0 %s\n", sum.overruns,
                sum.overruns == 0 ? "pass" : "fail");
    std::printf("bench quota_sums_above_limit %zu moments 0 %s\n", sum.sums_above_limit,
                sum.sums_above_limit == 0 ? "pass" : "fail");
    std::printf("bench quota_schedules %llu schedules - pass\n",
                static_cast<unsigned long long>(schedules));
    std::printf("bench quota_requests %zu requests - pass\n", sum.requests);
    std::printf("bench quota_admitted %zu requests - pass\n", sum.admitted);
    return pass ? 0 : 1;
}
