#include "apps/common/stall_watch.h"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <thread>

using namespace snipeshore;
using namespace std::chrono_literals;

// Guards against a process that hangs and logs nothing, so that nobody can tell why.
TEST_CASE("a loop that makes no progress is reported")
{
    http::loop loop;
    std::atomic<bool> is_in_callback{false};
    std::atomic<bool> may_return{false};
    std::atomic<bool> has_progressed{false};
    std::thread observed([&] {
        loop.post([&] {
            is_in_callback = true;
            while (!may_return) {
                std::this_thread::yield();
            }
        });
        loop.run();
    });
    apps::stall_watch watch(loop);
    const auto check_until_report = [&](base::time_point& now) {
        std::optional<apps::loop_stall> report;
        for (int i = 0; i < 100 && !report.has_value(); ++i) {
            now += apps::stall_watch::check_interval;
            report = watch.check(now);
        }
        return report;
    };
    while (!is_in_callback) {
        std::this_thread::yield();
    }
    base::time_point now = loop.activity().wait_end;
    const auto stall = check_until_report(now);
    SUBCASE("with its phase, once, and again when it has ended")
    {
        REQUIRE(stall.has_value());
        CHECK(stall->activity.phase == http::loop_phase::posted_work);
        CHECK(stall->duration >= 1s);
        CHECK_FALSE(stall->has_ended);
        CHECK_FALSE(check_until_report(now).has_value());
        may_return = true;
        loop.post([&] { has_progressed = true; });
        while (!has_progressed) {
            std::this_thread::yield();
        }
        const auto ended = check_until_report(now);
        REQUIRE(ended.has_value());
        CHECK(ended->has_ended);
    }
    SUBCASE("but a loop that waits for its next timer is not stalled")
    {
        may_return = true;
        loop.post([&] {
            loop.schedule(base::boot_clock::now() + 1h, [] {});
            has_progressed = true;
        });
        while (!has_progressed) {
            std::this_thread::yield();
        }
        while (loop.activity().wait_end < base::boot_clock::now() + 1s) {
            std::this_thread::yield();
        }
        now = base::boot_clock::now();
        check_until_report(now); // The end of the stall.
        CHECK_FALSE(watch.check(base::boot_clock::now()).has_value());
    }
    loop.stop();
    observed.join();
}
