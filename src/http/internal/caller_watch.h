/// @file Notices callers that close their connection while a request of theirs runs.
#pragma once

#include "http/internal/h2o.h"

#include <cstdint>
#include <functional>

namespace snipeshore::http {

/// h2o does not read from an HTTP/1 connection while a request runs, so it would only notice a lost
/// caller when it writes. This class waits for the hang-up of all connections with an epoll
/// descriptor that is itself a member of the loop; it reads no data.
class caller_watch {
public:
    caller_watch(h2o_evloop_t* evloop, std::function<void(std::uint64_t)> on_hang_up);
    ~caller_watch();
    caller_watch(const caller_watch&) = delete;
    caller_watch& operator=(const caller_watch&) = delete;
    caller_watch(caller_watch&&) = delete;
    caller_watch& operator=(caller_watch&&) = delete;

    /// Reports a hang-up of `descriptor` once, as `id`. Closing the descriptor ends the watch.
    void add(int descriptor, std::uint64_t id) const;

private:
    static void on_ready(h2o_socket_t* socket, const char* failure);
    void report();

    int m_epoll = -1;
    h2o_socket_t* m_socket = nullptr;
    std::function<void(std::uint64_t)> m_on_hang_up;
};

} // namespace snipeshore::http
