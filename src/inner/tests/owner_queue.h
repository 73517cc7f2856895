/// @file Owner's thread of nodes in tests.
#pragma once

#include "base/time.h"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>

namespace snipeshore::inner {

/// Runs what nodes post, on the thread of the test.
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

    /// Runs posted work until `done` holds; false after a time that only a hang reaches.
    bool run_until(const std::function<bool()>& done)
    {
        const auto give_up = std::chrono::steady_clock::now() + hang_limit;
        while (!done()) {
            std::unique_lock lock(m_mutex);
            if (!m_added.wait_until(lock, give_up, [this]() { return !m_work.empty(); })) {
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
    static constexpr std::chrono::seconds hang_limit{30};

    std::mutex m_mutex;
    std::condition_variable m_added;
    std::deque<std::function<void()>> m_work;
};

inline base::time_point in(std::chrono::milliseconds delay)
{
    return base::boot_clock::now() + delay;
}

} // namespace snipeshore::inner
