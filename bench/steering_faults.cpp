/// @file Checks sums over all deciders under seeded fault schedules and compares them with a naive
/// policy that shifts all traffic at once.
#include "bench/report.h"
#include "bench/steering_model.h"

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <future>
#include <vector>

using namespace snipeshore::bench;

namespace {

constexpr std::uint64_t schedules = 1000;
constexpr int seconds = 120;

/// Schedules are independent of each other and run on several threads.
constexpr std::uint64_t threads = 4;

void add(schedule_result& total, const schedule_result& one)
{
    total.decisions += one.decisions;
    total.shift_cap_violations += one.shift_cap_violations;
    total.region_overload_violations += one.region_overload_violations;
    total.link_violations += one.link_violations;
    total.worst_true_load = std::max(total.worst_true_load, one.worst_true_load);
    total.refused_fraction += one.refused_fraction;
}

schedule_result run_worker(std::uint64_t first, shift_method method)
{
    schedule_result total;
    for (std::uint64_t seed = first; seed <= schedules; seed += threads) {
        const schedule_result one = run_schedule(seed, seconds, method);
        if (method == shift_method::decider &&
            one.shift_cap_violations + one.region_overload_violations + one.link_violations > 0) {
            std::printf("# seed %llu: cap %llu, region %llu, link %llu\n",
                        static_cast<unsigned long long>(seed),
                        static_cast<unsigned long long>(one.shift_cap_violations),
                        static_cast<unsigned long long>(one.region_overload_violations),
                        static_cast<unsigned long long>(one.link_violations));
        }
        add(total, one);
    }
    return total;
}

schedule_result run_all(shift_method method)
{
    std::vector<std::future<schedule_result>> worker_results;
    for (std::uint64_t worker = 1; worker <= threads; ++worker) {
        worker_results.push_back(std::async(std::launch::async, run_worker, worker, method));
    }
    schedule_result total;
    for (auto& worker : worker_results) {
        add(total, worker.get());
    }
    total.refused_fraction /= schedules;
    return total;
}

} // namespace

int main()
{
    const schedule_result ours = run_all(shift_method::decider);
    bool passed = true;
    passed &= report("steering_schedules", schedules, "schedules", bound_kind::at_least, 1000);
    passed &= report("shift_cap_violations", static_cast<double>(ours.shift_cap_violations),
                     "intervals", bound_kind::at_most, 0);
    passed &=
        report("region_overload_violations", static_cast<double>(ours.region_overload_violations),
               "intervals", bound_kind::at_most, 0);
    passed &= report("link_headroom_violations", static_cast<double>(ours.link_violations),
                     "intervals", bound_kind::at_most, 0);
    report("steering_decisions", static_cast<double>(ours.decisions), "decisions",
           bound_kind::information, 0);
    report("steering_worst_true_region_load", ours.worst_true_load, "of_capacity",
           bound_kind::information, 0);
    report("steering_refused", 100 * ours.refused_fraction, "percent", bound_kind::information, 0);

    const schedule_result naive = run_all(shift_method::all_at_once);
    report("naive_shift_cap_violations", static_cast<double>(naive.shift_cap_violations),
           "intervals", bound_kind::information, 0);
    report("naive_region_overload_violations",
           static_cast<double>(naive.region_overload_violations), "intervals",
           bound_kind::information, 0);
    report("naive_link_headroom_violations", static_cast<double>(naive.link_violations),
           "intervals", bound_kind::information, 0);
    report("naive_worst_true_region_load", naive.worst_true_load, "of_capacity",
           bound_kind::information, 0);
    return passed ? 0 : 1;
}
