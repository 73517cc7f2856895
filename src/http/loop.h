/// @file Event loop of one thread that owns HTTP sockets.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace snipeshore::http {

/// Handle of a scheduled callback; 0 is none.
using timer_id = std::uint64_t;

/// Runs an h2o event loop. All functions but `post` and `stop` belong to the loop's thread. Ignores
/// SIGPIPE for the process. Timers follow the boot clock, so a jump of the wall clock moves none.
class loop {
public:
    loop();
    ~loop();
    loop(const loop&) = delete;
    loop& operator=(const loop&) = delete;
    loop(loop&&) = delete;
    loop& operator=(loop&&) = delete;

    /// Runs until `stop`.
    void run();

    /// Ends `run` from any thread.
    void stop();

    /// Runs `work` on the loop's thread; callable from any thread, wakes the loop.
    void post(std::function<void()> work);

    /// Calls `work` once at or after `deadline`.
    timer_id schedule(base::time_point deadline, std::function<void()> work);

    void cancel(timer_id timer);

    /// For the module's own implementation.
    struct impl;
    impl& internals();

private:
    std::unique_ptr<impl> m_impl;
};

} // namespace snipeshore::http
