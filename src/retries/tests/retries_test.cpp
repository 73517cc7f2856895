#include "base/error_response.h"
#include "retries/decide.h"
#include "retries/quarantine.h"
#include "retries/retry_budget.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <chrono>
#include <vector>

using namespace snipeshore;
using namespace snipeshore::retries;
using namespace std::chrono_literals;
using base::error_kind;

namespace {

const base::time_point start{1000h};

failed_attempt make_failure(error_kind kind)
{
    failed_attempt last;
    last.idempotent = true;
    last.deadline = start + 5s;
    last.expected = 10ms;
    last.failure = kind;
    return last;
}

crash_report make_report(std::uint64_t crash, const std::string& target,
                         std::vector<std::uint64_t> fingerprints)
{
    return {"host", crash, target, std::move(fingerprints)};
}

} // namespace

// Guards against overloading a failing fleet with retries.
TEST_CASE("retries stay within a tenth of the requests plus the constant rate")
{
    CHECK(rc::check("spent retries never exceed the budget", [] {
        retry_budget budget = make_budget({}, start);
        base::time_point now = start;
        double requests = 0;
        double spent = 0;
        const auto steps = *rc::gen::inRange(1, 500);
        for (int step = 0; step < steps; ++step) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 50));
            if (*rc::gen::arbitrary<bool>()) {
                record_request(budget, now);
                ++requests;
            }
            spent += try_spend(budget, now) ? 1 : 0;
            const double seconds = std::chrono::duration<double>(now - start).count();
            RC_ASSERT(spent <= requests * 0.1 + seconds * 1 + 10 + 1e-6);
        }
    }));
}

// Guards against running a non-idempotent request twice, and against a false "not run".
TEST_CASE("decide_retry after a failed attempt")
{
    retry_budget budget = make_budget({}, start);

    SUBCASE("an idempotent request is retried")
    {
        CHECK(decide_retry(make_failure(error_kind::target_failed), budget, start).retry);
    }
    SUBCASE("a non-idempotent request is retried only if no byte was sent")
    {
        failed_attempt last = make_failure(error_kind::connect_failed);
        last.idempotent = false;
        CHECK(decide_retry(last, budget, start).retry);
        last.bytes_sent = true;
        last.failure = error_kind::target_failed;
        const retry_decision decision = decide_retry(last, budget, start);
        CHECK_FALSE(decision.retry);
        CHECK(decision.kind == error_kind::outcome_unknown);
    }
    SUBCASE("no retry after a byte of the response, close to the deadline or without budget")
    {
        failed_attempt last = make_failure(error_kind::target_failed);
        last.bytes_sent = true;
        last.bytes_delivered = true;
        CHECK_FALSE(decide_retry(last, budget, start).retry);
        last.bytes_delivered = false;
        CHECK_FALSE(decide_retry(last, budget, start + 4995ms).retry);
        budget.tokens = 0;
        CHECK_FALSE(decide_retry(last, budget, start).retry);
    }
    SUBCASE("no error kind says \"not run\" after bytes were sent")
    {
        for (std::uint8_t kind = 0; kind < base::error_kind_count; ++kind) {
            for (const bool idempotent : {false, true}) {
                failed_attempt last = make_failure(static_cast<error_kind>(kind));
                last.idempotent = idempotent;
                last.bytes_sent = true;
                last.attempts = max_attempts;
                const retry_decision decision = decide_retry(last, budget, start);
                CHECK_FALSE(base::response_for(decision.kind).not_run);
            }
        }
    }
}

// Guards against hedges of non-idempotent requests and against hedges that are sent too early.
TEST_CASE("a slow request is hedged")
{
    retry_budget budget = make_budget({}, start);
    slow_request request{true, true, false, false, start, start + 5s, 100ms};

    SUBCASE("after the p95 latency of its service and not before")
    {
        CHECK_FALSE(decide_hedge(request, budget, start + 99ms).hedge);
        CHECK(decide_hedge(request, budget, start + 99ms).next_check == start + 100ms);
        CHECK(decide_hedge(request, budget, start + 100ms).hedge);
    }
    SUBCASE("never if not idempotent, not enabled for the route, already hedged, partly delivered "
            "or without p95")
    {
        for (const slow_request& other :
             {slow_request{false, true, false, false, start, start + 5s, 100ms},
              slow_request{true, false, false, false, start, start + 5s, 100ms},
              slow_request{true, true, true, false, start, start + 5s, 100ms},
              slow_request{true, true, false, true, start, start + 5s, 100ms},
              slow_request{true, true, false, false, start, start + 5s, 0ms}}) {
            CHECK_FALSE(decide_hedge(other, budget, start + 1s).hedge);
        }
    }
}

// Guards against a request that crashes one target after the other, and against quarantining a
// harmless request.
TEST_CASE("a request that crashes targets is quarantined")
{
    crash_tracker crashes;
    record_crash(crashes, make_report(1, "t1", {10, 20}), start);
    REQUIRE(suspicion_of(crashes, 10, start) == suspicion::suspect);

    SUBCASE("after the second crash")
    {
        record_crash(crashes, make_report(2, "t2", {10}), start + 1s);
        CHECK(suspicion_of(crashes, 10, start + 1s) == suspicion::quarantined);
        CHECK(suspicion_of(crashes, 20, start + 1s) == suspicion::suspect);
        CHECK(suspicion_of(crashes, 10, start + 1s + 10min) == suspicion::none);
    }
    SUBCASE("a repeated report and another host's report of the same crash count once")
    {
        record_crash(crashes, make_report(1, "t1", {10, 20}), start + 1s);
        record_crash(crashes, {"other", 1, "t1", {10}}, start + 300ms);
        CHECK(suspicion_of(crashes, 10, start + 1s) == suspicion::suspect);
    }
    SUBCASE("a success clears the suspicion")
    {
        const std::vector<std::uint64_t> cleared{20};
        record_success(crashes, cleared);
        record_crash(crashes, make_report(2, "t2", {20}), start + 2s);
        CHECK(suspicion_of(crashes, 20, start + 2s) == suspicion::suspect);
    }
    SUBCASE("two suspects never run on one target")
    {
        const std::vector<std::uint64_t> running{20, 30};
        const std::vector<std::uint64_t> harmless{30};
        CHECK_FALSE(may_run_beside(crashes, 10, running, start));
        CHECK(may_run_beside(crashes, 10, harmless, start));
        CHECK(may_run_beside(crashes, 30, running, start));
    }
    SUBCASE("the number of suspects is limited and quarantined ones are kept longest")
    {
        crashes.settings.max_suspects = 10;
        record_crash(crashes, make_report(2, "t2", {10}), start + 1s);
        for (std::uint64_t other = 100; other < 200; ++other) {
            record_crash(crashes, make_report(other, "t3", {other}), start + 2s);
        }
        CHECK(crashes.suspects.size() <= 10);
        CHECK(suspicion_of(crashes, 10, start + 3s) == suspicion::quarantined);
    }
    SUBCASE("a report that exceeds the limit of suspects still counts its known suspects")
    {
        crashes.settings.max_suspects = 4;
        record_crash(crashes, make_report(2, "t2", {51, 52, 53, 54, 55, 10}), start + 1s);
        CHECK(crashes.suspects.size() <= 4);
        CHECK(suspicion_of(crashes, 10, start + 1s) == suspicion::quarantined);
    }
}

// Runs many requests on a few targets, where one request crashes every target that runs it. Guards
// against more than two crashes and against quarantining a harmless request for these crashes.
TEST_CASE("only the request that crashes targets is quarantined")
{
    CHECK(rc::check("two crashes, one quarantined fingerprint", [] {
        constexpr std::uint64_t crashing = 1;
        constexpr std::size_t target_count = 4;
        crash_tracker crashes;
        std::vector<std::vector<std::uint64_t>> running(target_count);
        base::time_point now = start;
        unsigned crash_count = 0;
        const auto steps = *rc::gen::inRange(10, 300);
        for (int step = 0; step < steps; ++step) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 200));
            const auto target = static_cast<std::size_t>(*rc::gen::inRange(0, 4));
            const auto request = static_cast<std::uint64_t>(*rc::gen::inRange(1, 6));
            if (*rc::gen::arbitrary<bool>()) {
                // The target responds to all requests that run on it.
                record_success(crashes, running[target]);
                running[target].clear();
                continue;
            }
            if (suspicion_of(crashes, request, now) == suspicion::quarantined ||
                !may_run_beside(crashes, request, running[target], now)) {
                continue;
            }
            running[target].push_back(request);
            if (request == crashing) {
                ++crash_count;
                const std::string name = "t" + std::to_string(target) + "-" + std::to_string(step);
                record_crash(crashes, make_report(crash_count, name, running[target]), now);
                running[target].clear();
            }
        }
        RC_ASSERT(crash_count <= 2U);
        for (std::uint64_t harmless = 2; harmless < 6; ++harmless) {
            RC_ASSERT(suspicion_of(crashes, harmless, now) != suspicion::quarantined);
        }
    }));
}
