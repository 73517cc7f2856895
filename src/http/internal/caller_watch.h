/// @file Notices what callers do on their connection while a request of theirs runs.
#pragma once

#include "http/internal/h2o.h"

#include <cstdint>
#include <functional>

namespace snipeshore::http {

enum class caller_event { data_available, disconnected };

/// h2o does not read from an HTTP/1 connection while a request runs, so it would only notice a lost
/// caller when it writes, and further requests when the first is answered. This class waits for
/// both on all connections with an epoll descriptor that is itself a member of the loop; it reads
/// no data.
class caller_watch {
public:
    using event_callback = std::function<void(std::uint64_t id, caller_event event)>;

    caller_watch(h2o_evloop_t* evloop, event_callback on_event);
    ~caller_watch();
    caller_watch(const caller_watch&) = delete;
    caller_watch& operator=(const caller_watch&) = delete;
    caller_watch(caller_watch&&) = delete;
    caller_watch& operator=(caller_watch&&) = delete;

    /// Reports a hang-up of `descriptor` once, as `id`, and new bytes each time if `reports_bytes`.
    /// Closing the descriptor ends the watch.
    void add(int descriptor, std::uint64_t id, bool reports_bytes) const;

private:
    static void on_ready(h2o_socket_t* socket, const char* failure);
    void report();

    int m_epoll = -1;
    h2o_socket_t* m_socket = nullptr;
    event_callback m_on_event;
};

} // namespace snipeshore::http
