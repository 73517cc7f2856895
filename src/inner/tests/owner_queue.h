/// @file Queue of functions for the thread that owns the nodes in tests.
#pragma once

#include "base/time.h"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>

namespace snipeshore::inner {

/// Runs the functions that nodes post on the test's thread.
class owner_queue {
public:
    void post(std::function<void()> work)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_work.push_back(std::move(work));
        }
        m_added.notify_one();
    }

    /// Runs posted work until `done` returns true. Returns false if no work arrives before
    /// `hang_timeout`, which is reached only if the code under test hangs.
    bool run_until(const std::function<bool()>& done)
    {
        const auto deadline = std::chrono::steady_clock::now() + hang_timeout;
        while (!done()) {
            std::unique_lock lock(m_mutex);
            if (!m_added.wait_until(lock, deadline, [this]() { return !m_work.empty(); })) {
                return false;
            }
            const auto work = std::move(m_work.front());
            m_work.pop_front();
            lock.unlock();
            work();
        }
        return true;
    }

private:
    static constexpr std::chrono::seconds hang_timeout{30};

    std::mutex m_mutex;
    std::condition_variable m_added;
    std::deque<std::function<void()>> m_work;
};

inline base::time_point in(std::chrono::milliseconds delay)
{
    return base::boot_clock::now() + delay;
}

} // namespace snipeshore::inner
