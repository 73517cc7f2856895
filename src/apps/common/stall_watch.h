/// @file Detects an event loop that makes no progress.
#pragma once

#include "base/time.h"
#include "http/loop.h"

#include <ctime>
#include <optional>

namespace snipeshore::apps {

struct loop_stall {
    http::loop_activity activity;
    base::duration duration{}; ///< Since the loop should have started its next round.
    /// Processor time that the loop's thread has used meanwhile: close to `duration` if the thread
    /// spins, close to 0 if it is blocked.
    base::duration processor_time{};
    bool has_ended = false;
};

/// Observes one loop. Constructed on the loop's thread, then used on one other thread.
class stall_watch {
public:
    explicit stall_watch(const http::loop& loop);

    /// To be called every `check_interval`. Returns a stall when it is detected and when it ends.
    std::optional<loop_stall> check(base::time_point now);

    static constexpr base::duration check_interval = std::chrono::milliseconds(100);

private:
    base::duration processor_time() const;

    const http::loop& m_loop;
    clockid_t m_thread_clock{};
    http::loop_activity m_last;
    base::duration m_processor_time_before{};
    int m_checks_without_progress = 0;
};

/// Logs a stall that was detected or has ended.
void log_stall(const loop_stall& stall);

} // namespace snipeshore::apps
