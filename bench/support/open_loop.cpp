#include "bench/support/open_loop.h"

#include <algorithm>
#include <cmath>

namespace snipeshore::bench {

namespace {

using namespace std::chrono_literals;

struct run_state {
    test::http_session& session;
    base::time_point started_at;
    std::size_t count;
    double rate;
    std::function<test::http_request(std::size_t)> make;
    load_result result;
    std::size_t sent = 0;
    std::size_t completed = 0;
};

base::time_point scheduled_start(const run_state& run, std::size_t index)
{
    const std::chrono::duration<double> offset(static_cast<double>(index) / run.rate);
    return run.started_at + std::chrono::duration_cast<base::duration>(offset);
}

void send_due(run_state& run)
{
    while (run.sent < run.count && scheduled_start(run, run.sent) <= base::boot_clock::now()) {
        // Timers of the loop fire up to 1 ms late. Measuring from the scheduled_start start would
        // add that delay to both sides of a comparison and hide the difference.
        const base::time_point started = base::boot_clock::now();
        run.session.start(run.make(run.sent), [&run, started](const test::http_response& reply) {
            ++run.completed;
            if (!base::is_ok(reply.outcome) || reply.status != 200) {
                ++run.result.failed;
                return;
            }
            run.result.latencies.push_back(base::boot_clock::now() - started);
        });
        ++run.sent;
    }
    if (run.sent < run.count) {
        run.session.loop().schedule(scheduled_start(run, run.sent), [&run] { send_due(run); });
    }
}

} // namespace

load_result run_open_loop(test::http_session& session, double rate,
                          std::chrono::milliseconds length,
                          const std::function<test::http_request(std::size_t)>& make)
{
    const auto count =
        static_cast<std::size_t>(rate * std::chrono::duration<double>(length).count());
    run_state run{session, base::boot_clock::now(), count, rate, make, {}};
    session.loop().post([&run] { send_due(run); });
    session.run_until([&] { return run.completed == run.count; },
                      base::boot_clock::now() + length + 30s);
    std::sort(run.result.latencies.begin(), run.result.latencies.end());
    return std::move(run.result);
}

base::duration percentile(const load_result& result, double fraction)
{
    if (result.latencies.empty()) {
        return base::duration::max();
    }
    const auto rank = static_cast<std::size_t>(
        std::ceil(fraction * static_cast<double>(result.latencies.size())));
    return result.latencies[std::min(rank, result.latencies.size()) - (rank > 0 ? 1 : 0)];
}

double to_ms(base::duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace snipeshore::bench
