#include "http/loop.h"

#include "http/internal/loop_impl.h"

#include <sys/eventfd.h>

#include <algorithm>
#include <csignal>
#include <cstdint>
#include <utility>

#ifdef __SANITIZE_ADDRESS__
// libh2o leaks its queues and the entries of pooled connections that the peer has closed.
extern "C" const char* __lsan_default_suppressions() // NOLINT(bugprone-reserved-identifier)
{
    return "leak:h2o_multithread_create_queue\nleak:h2o_socketpool_return\n";
}
#endif

namespace snipeshore::http {

namespace {

/// Limit of rounds that the destructor of the loop runs to let connections close.
constexpr int closing_rounds = 100;
constexpr int closing_wait_ms = 10;
constexpr int longest_wait_ms = 60000;

void ignore_messages(h2o_multithread_receiver_t* /*receiver*/, h2o_linklist_t* /*messages*/) {}

} // namespace

loop::impl::impl()
{
    // A write to a connection that the peer has closed must fail with EPIPE, not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    // By default, h2o moves large buffers to temporary files, but hosts have no disk.
    h2o_socket_buffer_mmap_settings.threshold = SIZE_MAX;
    evloop = h2o_evloop_create();
    m_queue = h2o_multithread_create_queue(evloop);
    h2o_multithread_register_receiver(m_queue, &m_receiver, ignore_messages);
    m_callback_socket = h2o_evloop_socket_create(evloop, eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC),
                                                 H2O_SOCKET_FLAG_DONT_READ);
    m_callback_socket->data = this;
}

loop::impl::~impl()
{
    // Timers and posted work are discarded: their owners are already destroyed, so running them
    // would use destroyed objects. Only the remaining sockets have to be closed.
    for (int round = 0; round < closing_rounds && !m_closing_owners.empty(); ++round) {
        m_timers.clear();
        m_posted.clear();
        run_once(closing_wait_ms);
    }
    m_timers.clear();
    m_posted.clear();
    m_closing_owners.clear();
    h2o_socket_close(m_callback_socket);
    h2o_multithread_unregister_receiver(m_queue, &m_receiver);
    h2o_multithread_destroy_queue(m_queue);
    h2o_evloop_destroy(evloop);
}

void loop::impl::run_once(int max_wait_ms)
{
    const int wait = wait_ms(max_wait_ms);
    if (wait == 0) {
        enter_callback();
    }
    m_phase = loop_phase::sockets;
    m_wait_end = base::boot_clock::now() + std::chrono::milliseconds(wait);
    ++m_round;
    h2o_evloop_run(evloop, wait);
    run_work_before_wait();
    release_closed_owners();
}

void loop::impl::enter_callback()
{
    // h2o frees closed sockets before it runs callbacks, also a socket that waits for the callback
    // of a completed write. So sockets may be written to and closed only within a callback of h2o,
    // and timers and posted work, which do both, run in one.
    if (m_callback_socket->_cb.write == nullptr) {
        h2o_socket_write(m_callback_socket, nullptr, 0, on_callback);
    }
}

void loop::impl::on_callback(h2o_socket_t* socket, const char* /*failure*/)
{
    auto* self = static_cast<impl*>(socket->data);
    self->m_phase = loop_phase::posted_work;
    self->run_posted();
    self->m_phase = loop_phase::timers;
    self->run_due_timers();
    self->m_phase = loop_phase::sockets;
}

void loop::impl::wake()
{
    h2o_multithread_send_message(&m_receiver, nullptr);
}

void loop::impl::post(std::function<void()> work)
{
    {
        const std::lock_guard lock(m_posted_mutex);
        m_posted.push_back(std::move(work));
    }
    wake();
}

timer_id loop::impl::schedule(base::time_point deadline, std::function<void()> work)
{
    const timer_id timer = ++m_last_timer;
    m_timers.emplace(timer_key{deadline, timer}, std::move(work));
    m_deadlines.emplace(timer, deadline);
    return timer;
}

void loop::impl::cancel(timer_id timer)
{
    const auto found = m_deadlines.find(timer);
    if (found == m_deadlines.end()) {
        return;
    }
    // Destroys the callback last, as its destructor may schedule or cancel other timers.
    auto node = m_timers.extract(timer_key{found->second, timer});
    m_deadlines.erase(found);
}

void loop::impl::keep_until_closed(std::shared_ptr<socket_owner> closing)
{
    m_closing_owners.push_back(std::move(closing));
}

void loop::impl::run_before_wait(std::function<void()> work)
{
    m_work_before_wait.push_back(std::move(work));
}

int loop::impl::wait_ms(int max_wait_ms)
{
    if (!m_work_before_wait.empty()) {
        return 0;
    }
    {
        const std::lock_guard lock(m_posted_mutex);
        if (!m_posted.empty()) {
            return 0;
        }
    }
    if (m_timers.empty()) {
        return max_wait_ms;
    }
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(m_timers.begin()->first.first -
                                                                   base::boot_clock::now());
    return static_cast<int>(std::clamp<std::int64_t>(left.count(), 0, max_wait_ms));
}

void loop::impl::run_posted()
{
    std::vector<std::function<void()>> work;
    {
        const std::lock_guard lock(m_posted_mutex);
        work.swap(m_posted);
    }
    for (const auto& one : work) {
        one();
    }
}

void loop::impl::run_due_timers()
{
    // Timers that callbacks add, even if already due, run in the next round, so that socket events
    // are processed in between.
    const timer_id last = m_last_timer;
    const base::time_point now = base::boot_clock::now();
    auto next = m_timers.begin();
    while (next != m_timers.end() && next->first.first <= now) {
        if (next->first.second > last) {
            ++next;
            continue;
        }
        const auto node = m_timers.extract(next);
        m_deadlines.erase(node.key().second);
        node.mapped()();
        next = m_timers.begin();
    }
}

void loop::impl::run_work_before_wait()
{
    for (const auto& work : std::exchange(m_work_before_wait, {})) {
        work();
    }
}

void loop::impl::release_closed_owners()
{
    std::erase_if(m_closing_owners, [](const auto& one) { return one->is_closed(); });
}

loop_activity loop::impl::activity() const
{
    return {m_round, m_phase, m_wait_end};
}

loop::loop() : m_impl(std::make_unique<impl>()) {}

loop::~loop() = default;

void loop::run()
{
    // Writes made before `run` may have completed, which h2o reports only in a round.
    m_impl->run_once(0);
    while (!m_impl->stopped.exchange(false)) {
        m_impl->run_once(longest_wait_ms);
    }
}

void loop::stop()
{
    m_impl->stopped = true;
    m_impl->wake();
}

void loop::post(std::function<void()> work)
{
    m_impl->post(std::move(work));
}

timer_id loop::schedule(base::time_point deadline, std::function<void()> work)
{
    return m_impl->schedule(deadline, std::move(work));
}

void loop::cancel(timer_id timer)
{
    m_impl->cancel(timer);
}

loop_activity loop::activity() const
{
    return m_impl->activity();
}

loop::impl& loop::internals()
{
    return *m_impl;
}

} // namespace snipeshore::http
