#include "apps/common/stop_signal.h"

#include "http/loop.h"

#include <csignal>
#include <ctime>
#include <utility>

namespace snipeshore::apps {

namespace {

sigset_t stop_signals()
{
    sigset_t set{};
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    return set;
}

} // namespace

stop_signal::stop_signal(http::loop& loop, std::function<void()> on_stop,
                         std::function<void()> on_reload)
{
    // A write to a connection that the caller has closed must not terminate the process.
    std::signal(SIGPIPE, SIG_IGN);
    const sigset_t set = stop_signals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    m_thread = std::thread([this, &loop, stop = std::move(on_stop), reload = std::move(on_reload)] {
        const sigset_t awaited = stop_signals();
        const timespec poll_interval{0, 100'000'000};
        while (!m_is_stopping) {
            const int received = sigtimedwait(&awaited, nullptr, &poll_interval);
            const auto& callback = received == SIGHUP ? reload : stop;
            if (received > 0 && callback) {
                loop.post(callback);
            }
        }
    });
}

stop_signal::~stop_signal()
{
    m_is_stopping = true;
    m_thread.join();
}

} // namespace snipeshore::apps
