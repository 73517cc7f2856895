/// @file Measures the cost of crash quarantine on one host: state per suspect, time per check and
/// per report. The state of a full crash tracker must fit into the 64 MB per node of section 1.6.
#include "bench/models/live_bytes.h"
#include "bench/report.h"
#include "retries/quarantine.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

using namespace snipeshore;
using bench::bound_kind;

namespace {

constexpr double bound_mib = 64;
constexpr double mib = 1024.0 * 1024.0;
constexpr std::array<std::size_t, 4> sizes{256, 2048, 8192, 16384};
/// Requests in flight on a crashed target, equal to the connections per endpoint in section 1.5.
constexpr std::size_t in_flight = 400;
constexpr std::size_t checks = 200000;

const base::time_point start{std::chrono::hours(1)};

struct cost {
    double bytes = 0;
    double check_ns = 0;
    double report_us = 0; ///< Time to record one report with `in_flight` new fingerprints.
};

template <typename Action>
double nanoseconds(const Action& action)
{
    const auto begin = std::chrono::steady_clock::now();
    action();
    const std::chrono::duration<double, std::nano> time = std::chrono::steady_clock::now() - begin;
    return time.count();
}

retries::crash_report report_of(std::uint64_t number, std::size_t count)
{
    retries::crash_report report{"host", number, "target-" + std::to_string(number), {}};
    for (std::size_t index = 0; index < count; ++index) {
        const std::string path = std::to_string(number) + "/" + std::to_string(index);
        report.fingerprints.push_back(retries::fingerprint("account", "s", "GET", path, ""));
    }
    return report;
}

cost measure(std::size_t size)
{
    const std::size_t before = bench_models::live_bytes();
    retries::crash_tracker crashes;
    {
        const retries::crash_report first = report_of(1, size);
        retries::record_crash(crashes, first, start);
    }
    cost result;
    result.bytes =
        static_cast<double>(bench_models::live_bytes() - before) / static_cast<double>(size);
    std::size_t suspects = 0;
    const double check_time = nanoseconds([&] {
        for (std::uint64_t number = 0; number < checks; ++number) {
            suspects += retries::suspicion_of(crashes, number * 0x9e3779b97f4a7c15U, start) ==
                                retries::suspicion::none
                            ? 0
                            : 1;
        }
    });
    result.check_ns = check_time / static_cast<double>(checks);
    const retries::crash_report next = report_of(2, in_flight);
    const double report_time = nanoseconds([&] { retries::record_crash(crashes, next, start); });
    result.report_us = report_time / 1000;
    if (suspects > 0) {
        std::fprintf(stderr, "retry_cost: %zu unexpected suspects\n", suspects);
    }
    return result;
}

} // namespace

int main()
{
    cost last;
    for (const std::size_t size : sizes) {
        last = measure(size);
        const std::string number = std::to_string(size);
        bench::report(("quarantine_state_bytes_" + number).c_str(), last.bytes, "bytes",
                      bound_kind::information, 0);
        bench::report(("quarantine_check_ns_" + number).c_str(), last.check_ns, "ns",
                      bound_kind::information, 0);
        bench::report(("quarantine_report_us_" + number).c_str(), last.report_us, "us",
                      bound_kind::information, 0);
    }
    const double state = last.bytes * static_cast<double>(sizes.back()) / mib;
    const bool pass = bench::report("quarantine_state_mib_full_register", state, "MiB",
                                    bound_kind::at_most, bound_mib);
    return pass ? 0 : 1;
}
