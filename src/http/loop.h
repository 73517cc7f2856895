/// @file Event loop of one thread that owns HTTP sockets.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace snipeshore::http {

/// Handle of a scheduled callback; 0 means none.
using timer_id = std::uint64_t;

/// Runs an h2o event loop. All functions except `post` and `stop` must be called on the loop's
/// thread. Ignores SIGPIPE for the whole process. Timers use the boot clock, so changes of the wall
/// clock do not affect them.
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

    /// Internal to the module.
    struct impl;
    impl& internals();

private:
    std::unique_ptr<impl> m_impl;
};

} // namespace snipeshore::http
