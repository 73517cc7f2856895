/// @file Queue of work for the event loop's thread.
#pragma once

#include <deque>
#include <functional>
#include <mutex>

namespace snipeshore::inner {

/// Any thread may push items; the event loop's thread takes them when `wake_fd` becomes readable.
/// The limits on outgoing and incoming calls bound the length of the queue, as each call has at
/// most one item in it.
class work_queue {
public:
    using work = std::function<void()>;

    work_queue();
    ~work_queue();
    work_queue(const work_queue&) = delete;
    work_queue& operator=(const work_queue&) = delete;
    work_queue(work_queue&&) = delete;
    work_queue& operator=(work_queue&&) = delete;

    /// Has no effect after `close`.
    void push(work item);

    std::deque<work> take_all();

    void close();

    int wake_fd() const
    {
        return m_wake_fd;
    }

private:
    int m_wake_fd = -1;
    std::mutex m_mutex;
    std::deque<work> m_items;
    bool m_closed = false;
};

} // namespace snipeshore::inner
