/// @file Event loop of one thread that owns HTTP sockets.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace snipeshore::http {

/// Handle of a scheduled callback; 0 means none.
using timer_id = std::uint64_t;

/// Part of a round in which the loop runs.
enum class loop_phase : std::uint8_t {
    sockets, ///< Waits for events of sockets or runs their callbacks.
    posted_work,
    timers,
};

/// What the loop is doing, to find out why it makes no progress.
struct loop_activity {
    std::uint64_t round = 0;
    loop_phase phase = loop_phase::sockets;
    base::time_point wait_end; ///< The round waits for events until then at most.
};

/// Runs an h2o event loop. All functions except `post`, `stop` and `activity` must be called on the
/// loop's thread. Ignores SIGPIPE for the whole process. Timers use the boot clock, so changes of
/// the wall clock do not affect them.
class loop {
public:
    loop();
    ~loop();
    loop(const loop&) = delete;
    loop& operator=(const loop&) = delete;
    loop(loop&&) = delete;
    loop& operator=(loop&&) = delete;

    /// Runs until `stop` is called.
    void run();

    /// Makes `run` return; callable from any thread.
    void stop();

    /// Runs `work` on the loop's thread and wakes the loop; callable from any thread.
    void post(std::function<void()> work);

    /// Calls `work` once at or after `deadline`.
    timer_id schedule(base::time_point deadline, std::function<void()> work);

    void cancel(timer_id timer);

    /// Callable from any thread.
    loop_activity activity() const;

    /// Internal to the module.
    struct impl;
    impl& internals();

private:
    std::unique_ptr<impl> m_impl;
};

} // namespace snipeshore::http
