/// @file Detects events on a caller's connection while a request of the caller is in progress.
#pragma once

#include "http/internal/h2o.h"

#include <cstdint>
#include <functional>

namespace snipeshore::http {

enum class caller_event { data_available, disconnected };

/// h2o does not read from an HTTP/1 connection while a request is in progress. It would detect a
/// disconnected caller only when it writes, and further requests only after the response to the
/// first. This class waits for both events on all connections with an epoll descriptor that is
/// itself registered with the loop; it reads no data.
class caller_watch {
public:
    using event_callback = std::function<void(std::uint64_t id, caller_event event)>;

    caller_watch(h2o_evloop_t* evloop, event_callback on_event);
    ~caller_watch();
    caller_watch(const caller_watch&) = delete;
    caller_watch& operator=(const caller_watch&) = delete;
    caller_watch(caller_watch&&) = delete;
    caller_watch& operator=(caller_watch&&) = delete;

    /// Reports events of `descriptor` under `id`: a disconnect once, and new data each time if
    /// `reports_bytes`. Closing the descriptor ends the reports.
    void add(int descriptor, std::uint64_t id, bool reports_bytes) const;

private:
    static void on_ready(h2o_socket_t* socket, const char* failure);
    void report();

    int m_epoll = -1;
    h2o_socket_t* m_socket = nullptr;
    event_callback m_on_event;
};

} // namespace snipeshore::http
