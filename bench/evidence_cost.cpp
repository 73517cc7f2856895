/// @file Measures the cost of evidence about crashing requests on one host at the target size:
/// state and time of runs that were given up, time to judge a suspect, time to read the rows of all
/// hosts.
#include "bench/models/live_bytes.h"
#include "bench/report.h"
#include "crash_evidence/crash_watch.h"
#include "crash_evidence/stored_evidence.h"
#include "fleet/exchange_encoding.h"

#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

using namespace snipeshore;
using namespace std::chrono_literals;
using bench::bound_kind;

namespace {

constexpr double bound_mib = 64;
constexpr double mib = 1024.0 * 1024.0;
constexpr std::size_t targets = 140;
constexpr std::size_t hosts = 1000;
constexpr std::size_t notices_in_row = 20;

/// Given up each second on one host; the record holds all of ten seconds.
constexpr std::size_t runs_per_second = 1000;
constexpr std::size_t runs = runs_per_second * 10;
constexpr std::size_t suspects = 4096;

const base::time_point start{std::chrono::hours(1)};

template <typename Action>
double microseconds(const Action& action)
{
    const auto begin = std::chrono::steady_clock::now();
    action();
    const std::chrono::duration<double, std::micro> time = std::chrono::steady_clock::now() - begin;
    return time.count();
}

base::target_id name(std::size_t target)
{
    return base::target_id("i-7f3a91c2-" + std::to_string(target));
}

void give_up_all(crash_evidence::crash_watch& watch)
{
    for (std::size_t i = 0; i < runs; ++i) {
        const base::time_point at = start + i * (1s / runs_per_second);
        crash_evidence::on_given_up(watch, {name(i % targets), 1, "10.1.0.7:8668"},
                                    {i, at, at, false});
    }
}

/// A target ends while so many suspects run there. Each is compared with all suspects.
void end_target(crash_evidence::crash_watch& watch, std::size_t target, std::size_t running,
                base::time_point now)
{
    for (std::uint64_t request = 0; request < running; ++request) {
        crash_evidence::on_given_up(watch, {name(target), 1, "10.1.0.7:8668"},
                                    {request, now - 100ms, now - 50ms, false});
    }
    crash_evidence::on_target_ended(watch, name(target), now);
}

bool measure_given_up()
{
    const std::size_t before = bench_models::live_bytes();
    crash_evidence::crash_watch watch;
    const double time = microseconds([&] { give_up_all(watch); });
    const double state = static_cast<double>(bench_models::live_bytes() - before);
    bench::report("evidence_given_up_ns", time * 1000 / runs, "ns", bound_kind::information, 0);
    const double alive = microseconds([&] {
        for (std::size_t target = 0; target < targets; ++target) {
            crash_evidence::on_target_alive(watch, name(target), start + 10s);
        }
    });
    bench::report("evidence_alive_us", alive / targets, "us", bound_kind::information, 0);
    return bench::report("evidence_given_up_mib", state / mib, "MiB", bound_kind::at_most,
                         bound_mib);
}

/// Time for the third end of a target while so many of all suspects run there.
void measure_judgement(std::size_t running)
{
    crash_evidence::crash_watch watch;
    end_target(watch, 0, suspects, start);
    end_target(watch, 1, suspects, start + 3s);
    for (auto& [request, suspect] : watch.suspects) {
        suspect.outlived = 1;
    }
    const double time = microseconds([&] { end_target(watch, 2, running, start + 6s); });
    bench::report(("evidence_third_end_us_" + std::to_string(running)).c_str(), time, "us",
                  bound_kind::information, 0);
}

void measure_rows()
{
    crash_evidence::stored_evidence evidence;
    for (std::size_t i = 0; i < notices_in_row; ++i) {
        crash_evidence::keep_notice(evidence,
                                    {fleet::notice_kind::crash,
                                     crash_evidence::subject_of(i * 0x9e3779b97f4a7c15U) + "/" +
                                         name(i).value() + "/1800000000000",
                                     50, start},
                                    start);
    }
    const std::string row = fleet::encode(crash_evidence::make_row(evidence, start, 1h));
    std::size_t read = 0;
    const double time = microseconds([&] {
        for (std::size_t host = 0; host < hosts; ++host) {
            const auto parsed = fleet::parse_stored_notices(row);
            read += crash_evidence::read_row(base::value_of(parsed), start, 1h).size();
        }
    });
    bench::report("evidence_row_bytes", static_cast<double>(row.size()), "bytes",
                  bound_kind::information, 0);
    bench::report("evidence_read_1000_rows_ms", time / 1000, "ms", bound_kind::information, 0);
    if (read != hosts * notices_in_row) {
        std::fprintf(stderr, "evidence_cost: %zu notices read\n", read);
    }
}

} // namespace

int main()
{
    const bool pass = measure_given_up();
    measure_judgement(runs_per_second * 3 / targets);
    measure_judgement(suspects);
    measure_rows();
    return pass ? 0 : 1;
}
