/// @file State of a loop; internal to the module.
#pragma once

#include "http/internal/h2o.h"
#include "http/loop.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

namespace snipeshore::http {

/// An object whose sockets may stay open in the loop after its public handle has been destroyed.
class socket_owner {
public:
    socket_owner() = default;
    virtual ~socket_owner() = default;
    socket_owner(const socket_owner&) = delete;
    socket_owner& operator=(const socket_owner&) = delete;
    socket_owner(socket_owner&&) = delete;
    socket_owner& operator=(socket_owner&&) = delete;

    virtual bool is_closed() const = 0;
};

struct loop::impl {
    impl();
    ~impl();
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;
    impl(impl&&) = delete;
    impl& operator=(impl&&) = delete;

    h2o_evloop_t* evloop = nullptr;

    void run_once(int max_wait_ms);
    void wake();
    void post(std::function<void()> work);
    timer_id schedule(base::time_point deadline, std::function<void()> work);
    void cancel(timer_id timer);

    /// Calls `work` on the loop's thread before the loop next waits for events, after the callbacks
    /// of h2o that are due. For work that changes callbacks of sockets; it must neither write to a
    /// socket nor close one.
    void run_before_wait(std::function<void()> work);

    /// Keeps the object alive until its sockets are closed or the loop is destroyed.
    void keep_until_closed(std::shared_ptr<socket_owner> closing);

    loop_activity activity() const;

    std::atomic<bool> stopped{false};

private:
    int wait_ms(int max_wait_ms);
    void enter_callback();
    static void on_callback(h2o_socket_t* socket, const char* failure);
    void run_posted();
    void run_due_timers();
    void run_work_before_wait();
    void release_closed_owners();

    using timer_key = std::pair<base::time_point, timer_id>;

    h2o_multithread_queue_t* m_queue = nullptr;
    h2o_multithread_receiver_t m_receiver{};
    std::map<timer_key, std::function<void()>> m_timers;
    std::unordered_map<timer_id, base::time_point> m_deadlines;
    timer_id m_last_timer = 0;
    std::atomic<std::uint64_t> m_round{0};
    std::atomic<loop_phase> m_phase{loop_phase::sockets};
    std::atomic<base::time_point> m_wait_end{base::time_point{}};
    /// Never carries data. Writing nothing to it makes h2o call back among its socket callbacks.
    h2o_socket_t* m_callback_socket = nullptr;
    std::vector<std::function<void()>> m_work_before_wait;
    std::mutex m_posted_mutex;
    std::vector<std::function<void()>> m_posted;
    std::vector<std::shared_ptr<socket_owner>> m_closing_owners;
};

} // namespace snipeshore::http
