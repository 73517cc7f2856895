#include "prediction/service_times.h"

#include <doctest/doctest.h>

using namespace snipeshore;
using namespace snipeshore::prediction;
using namespace std::chrono_literals;

namespace {

const base::time_point start = base::time_point{} + 1h;

request_traits request_for(std::uint64_t route, std::uint64_t object)
{
    return {route, object, true, 300ms};
}

/// Sends a request that gets a slot at once and takes `took`.
void run(service_times& times, target_history& history, const request_traits& request,
         base::duration took, base::time_point now = start)
{
    const time_sample sample{request, recency_of(history, request), 0ms, took, true};
    record_run(history, request);
    record_time(times, history, sample, now);
}

} // namespace

// Guards against one average for all requests of a service: it predicts a multiple of a short
// route's time, so that short requests are refused although they would finish in time.
TEST_CASE("predicted service times follow the route and what the target knows")
{
    constexpr std::uint64_t short_route = 1;
    constexpr std::uint64_t long_route = 2;
    service_times times;
    target_history target;
    for (std::uint64_t i = 0; i < 40; ++i) {
        const bool is_first = i < 4;
        run(times, target, request_for(short_route, i % 4), is_first ? 190ms : 60ms);
        run(times, target, request_for(long_route, 10 + i % 4), is_first ? 1200ms : 360ms);
    }
    const auto expect = [&](std::uint64_t route, std::uint64_t object) {
        return expected_time(times, target, request_for(route, object), start + 1min);
    };
    SUBCASE("routes of one service have their own times, for known and for new objects")
    {
        CHECK(expect(short_route, 1) > 50ms);
        CHECK(expect(short_route, 1) < 80ms);
        CHECK(expect(short_route, 99) > 150ms);
        CHECK(expect(short_route, 99) < 230ms);
        CHECK(expect(long_route, 11) > 300ms);
        CHECK(expect(long_route, 11) < 420ms);
        CHECK(expect(long_route, 99) > 1000ms);
    }
    SUBCASE("the object is known once its first run has started, and unknown if it was rejected")
    {
        CHECK(recency_of(target, request_for(short_route, 50)) == recency::never);
        record_run(target, request_for(short_route, 50));
        CHECK(recency_of(target, request_for(short_route, 50)) == recency::recent);
        forget_run(target, request_for(short_route, 50));
        CHECK(recency_of(target, request_for(short_route, 50)) == recency::never);
    }
    SUBCASE("objects that the target ran long ago have times of their own")
    {
        for (std::uint64_t i = 0; i < 100; ++i) {
            record_run(target, request_for(long_route, 1000 + i));
        }
        CHECK(recency_of(target, request_for(short_route, 1)) == recency::earlier);
        CHECK(expect(short_route, 1) < 80ms);
        for (int i = 0; i < 30; ++i) {
            record_time(times, target,
                        {request_for(short_route, 1), recency::earlier, 0ms, 190ms, true}, start);
        }
        CHECK(expect(short_route, 1) > 120ms);
    }
    SUBCASE("a slow target is expected to be slow for a while, and others are not")
    {
        for (int i = 0; i < 8; ++i) {
            run(times, target, request_for(short_route, 1), 300ms, start + 2min);
        }
        const target_history other;
        const auto now = start + 2min;
        CHECK(expected_time(times, target, request_for(short_route, 1), now) > 180ms);
        CHECK(expected_time(times, other, request_for(short_route, 1), now) < 250ms);
        CHECK(expected_time(times, target, request_for(short_route, 1), now + 1min) < 120ms);
    }
    SUBCASE("a response that had to wait changes no service time")
    {
        const base::duration before = expect(short_route, 1);
        record_time(times, target,
                    {request_for(short_route, 1), recency::recent, 200ms, 260ms, false}, start);
        CHECK(expect(short_route, 1) == before);
    }
}

TEST_CASE("the state stays bounded, whatever callers send")
{
    service_times times;
    target_history target;
    for (std::uint64_t i = 0; i < 100'000; ++i) {
        run(times, target, request_for(i, i), 10ms);
        CHECK(target.last_runs.size() <= 2 * remembered_runs);
        CHECK(times.by_route.size() <= max_routes);
    }
}
