#include "inner/internal/work_queue.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <system_error>
#include <utility>

namespace snipeshore::inner {

work_queue::work_queue() : m_wake_fd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    if (m_wake_fd < 0) {
        throw std::system_error(errno, std::generic_category(), "eventfd");
    }
}

work_queue::~work_queue()
{
    ::close(m_wake_fd);
}

void work_queue::push(work item)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_closed) {
            return;
        }
        m_items.push_back(std::move(item));
    }
    const std::uint64_t one = 1;
    // Fails only when the counter is at its maximum; `wake_fd` is readable then anyway.
    [[maybe_unused]] const auto written = ::write(m_wake_fd, &one, sizeof(one));
}

std::deque<work_queue::work> work_queue::take_all()
{
    std::uint64_t count = 0;
    // Fails with EAGAIN when nothing was written since the last read, which is harmless.
    [[maybe_unused]] const auto got = ::read(m_wake_fd, &count, sizeof(count));
    const std::lock_guard lock(m_mutex);
    return std::exchange(m_items, {});
}

void work_queue::close()
{
    std::deque<work> dropped;
    {
        const std::lock_guard lock(m_mutex);
        m_closed = true;
        dropped.swap(m_items);
    }
    // Destroying an item may push another one, so items are destroyed without holding the lock.
}

} // namespace snipeshore::inner
