/// @file Connections that the server has closed for writing while their callers may still read or
/// send.
#pragma once

#include "http/internal/h2o.h"
#include "http/loop.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace snipeshore::http {

struct discard_result {
    std::size_t bytes = 0;
    bool has_ended = false; ///< The peer has closed or reset its end.
};

/// Reads and discards what has arrived on the connection, up to a limit per call.
discard_result discard_received(int descriptor);

struct lingering_limits {
    std::chrono::milliseconds timeout{0};
    std::size_t max_discarded_bytes = 0; ///< For each connection.
};

/// Closing a socket with unread bytes, or one that receives bytes later, makes the kernel reset the
/// connection and drop the response data that the caller has not received yet. A lingering
/// connection has sent its end of stream; what arrives is discarded until the caller closes, or
/// until a limit is reached.
class lingering_connections {
public:
    /// `on_closed` is called after a connection was closed, except by the destructor and
    /// `close_all`.
    lingering_connections(loop& owner, lingering_limits limits, std::function<void()> on_closed);
    ~lingering_connections();
    lingering_connections(const lingering_connections&) = delete;
    lingering_connections& operator=(const lingering_connections&) = delete;
    lingering_connections(lingering_connections&&) = delete;
    lingering_connections& operator=(lingering_connections&&) = delete;

    /// Takes ownership of the descriptor.
    void add(int descriptor);

    void close_oldest();
    void close_all();

    std::size_t size() const;

private:
    struct connection {
        lingering_connections* owner = nullptr;
        std::uint64_t id = 0;
        h2o_socket_t* socket = nullptr;
        timer_id deadline = 0;
        std::size_t discarded_bytes = 0;
    };

    static void on_readable(h2o_socket_t* socket, const char* failure);
    void discard(connection& from);
    void close(std::uint64_t id);
    void release(connection& which) const;

    loop& m_owner;
    lingering_limits m_limits;
    std::function<void()> m_on_closed;
    std::uint64_t m_last_id = 0;
    std::map<std::uint64_t, std::unique_ptr<connection>> m_connections; ///< Oldest first.
};

} // namespace snipeshore::http
