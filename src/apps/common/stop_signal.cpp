#include "apps/common/stop_signal.h"

#include "apps/common/stall_watch.h"
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
    m_thread = std::thread([this, &loop, stalls = stall_watch(loop), stop = std::move(on_stop),
                            reload = std::move(on_reload)]() mutable {
        const sigset_t awaited = stop_signals();
        const timespec poll_interval{0, stall_watch::check_interval.count()};
        while (!m_is_stopping) {
            const int received = sigtimedwait(&awaited, nullptr, &poll_interval);
            const auto& callback = received == SIGHUP ? reload : stop;
            if (received > 0 && callback) {
                loop.post(callback);
            }
            if (const auto stall = stalls.check(base::boot_clock::now())) {
                log_stall(*stall);
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
