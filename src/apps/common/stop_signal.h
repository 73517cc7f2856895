/// @file Delivers process signals as callbacks on the loop's thread, and reports a loop that
/// stalls.
#pragma once

#include <atomic>
#include <functional>
#include <thread>

namespace snipeshore::http {
class loop;
}

namespace snipeshore::apps {

/// Blocks SIGTERM, SIGINT and SIGHUP; must be constructed before any other thread starts, so that
/// all threads inherit the signal mask. `on_stop` is posted to the loop once per SIGTERM or SIGINT,
/// `on_reload` once per SIGHUP. Its thread also observes the loop, so that a process that no longer
/// reacts to a signal still says why.
class stop_signal {
public:
    stop_signal(http::loop& loop, std::function<void()> on_stop,
                std::function<void()> on_reload = {});
    ~stop_signal();
    stop_signal(const stop_signal&) = delete;
    stop_signal& operator=(const stop_signal&) = delete;
    stop_signal(stop_signal&&) = delete;
    stop_signal& operator=(stop_signal&&) = delete;

private:
    std::atomic<bool> m_is_stopping{false};
    std::thread m_thread;
};

} // namespace snipeshore::apps
