/// @file Turns SIGTERM and SIGINT into a call on the loop's thread.
#pragma once

#include <atomic>
#include <functional>
#include <thread>

namespace snipeshore::http {
class loop;
}

namespace snipeshore::apps {

/// Blocks the signals; must be constructed before any other thread starts, so that they inherit
/// the mask. `on_stop` is posted to the loop once per signal.
class stop_signal {
public:
    stop_signal(http::loop& loop, std::function<void()> on_stop);
    ~stop_signal();
    stop_signal(const stop_signal&) = delete;
    stop_signal& operator=(const stop_signal&) = delete;
    stop_signal(stop_signal&&) = delete;
    stop_signal& operator=(stop_signal&&) = delete;

private:
    std::atomic<bool> m_done{false};
    std::thread m_thread;
};

} // namespace snipeshore::apps
