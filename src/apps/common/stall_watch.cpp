#include "apps/common/stall_watch.h"

#include "telemetry/event_log.h"

#include <pthread.h>

#include <chrono>

namespace snipeshore::apps {

namespace {

/// Counted in checks instead of time, so that a pause of the whole process is no stall.
constexpr int checks_until_stalled = 10;

const char* name_of(http::loop_phase phase)
{
    switch (phase) {
    case http::loop_phase::sockets:
        return "sockets";
    case http::loop_phase::posted_work:
        return "posted_work";
    case http::loop_phase::timers:
        return "timers";
    }
    return "unknown";
}

double to_milliseconds(base::duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace

stall_watch::stall_watch(const http::loop& loop) : m_loop(loop)
{
    if (pthread_getcpuclockid(pthread_self(), &m_thread_clock) != 0) {
        m_thread_clock = CLOCK_PROCESS_CPUTIME_ID;
    }
}

base::duration stall_watch::processor_time() const
{
    timespec used{};
    clock_gettime(m_thread_clock, &used);
    return std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
}

std::optional<loop_stall> stall_watch::check(base::time_point now)
{
    const http::loop_activity activity = m_loop.activity();
    // Before the first round the program still starts.
    const bool is_waiting = activity.round == 0 || now < activity.wait_end;
    if (activity.round != m_last.round || is_waiting) {
        const bool was_stalled = m_checks_without_progress >= checks_until_stalled;
        const loop_stall ended{m_last, now - m_last.wait_end,
                               processor_time() - m_processor_time_before, true};
        m_checks_without_progress = 0;
        m_last = activity;
        return was_stalled ? std::optional(ended) : std::nullopt;
    }
    if (m_checks_without_progress == 0) {
        m_processor_time_before = processor_time();
    }
    if (++m_checks_without_progress != checks_until_stalled) {
        return std::nullopt;
    }
    return loop_stall{activity, now - activity.wait_end, processor_time() - m_processor_time_before,
                      false};
}

void log_stall(const loop_stall& stall)
{
    telemetry::log_event(telemetry::severity::error,
                         stall.has_ended ? "loop_stall_ended" : "loop_stalled",
                         {{"phase", name_of(stall.activity.phase)},
                          {"round", stall.activity.round},
                          {"for_ms", to_milliseconds(stall.duration)},
                          {"processor_ms", to_milliseconds(stall.processor_time)}});
}

} // namespace snipeshore::apps
