/// @file HTTP/1.1 client with pooled keep-alive connections.
#pragma once

#include "base/result.h"
#include "base/time.h"
#include "http/types/message.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace snipeshore::http {

class loop;

struct client_request {
    std::string address; ///< "ip:port"
    request_head head;
    std::string body;
    base::time_point deadline; ///< The response must be complete by then.
    /// The head of the response must be there by then; unset: by `deadline`.
    std::optional<base::time_point> head_deadline;
    /// Opens a connection of its own, on which no response to another request can arrive.
    bool needs_new_connection = false;
    /// Called when a connection is there, just before the request is written, as it may have waited
    /// for one. May change the head. If it returns false, nothing is written and the call ends with
    /// `cancelled`.
    std::function<bool(request_head&)> before_write;
};

/// How a call ended.
struct call_end {
    base::status outcome;      ///< Ok only if the response is complete.
    bool request_sent = false; ///< Whether a byte of the request may have reached the peer.
};

struct call_callbacks {
    std::function<void(const response_head&)> on_head;
    /// Receives a chunk of the body. The view is valid during the call only.
    std::function<void(std::string_view)> on_body;
    /// The last callback, invoked exactly once unless the call is cancelled.
    std::function<void(const call_end&)> on_end;
};

/// A request in flight. Destroying it cancels it: the connection is closed.
class client_call {
public:
    client_call() = default;
    virtual ~client_call() = default;
    client_call(const client_call&) = delete;
    client_call& operator=(const client_call&) = delete;
    client_call(client_call&&) = delete;
    client_call& operator=(client_call&&) = delete;

    /// Stops reading from the peer, for back-pressure. Chunks that were already read may still be
    /// delivered.
    virtual void pause() = 0;
    virtual void resume() = 0;

    /// Whether a byte of the request may have reached the peer.
    virtual bool request_sent() const = 0;
};

struct client_settings {
    std::size_t max_connections_per_address = 64;
    std::size_t max_header_bytes = 64U << 10U;
    /// Limit of requests that wait for a connection; further requests fail with `overloaded`.
    std::size_t max_queued_per_address = 256;
    std::chrono::milliseconds connect_timeout{2000};
    /// How long an idle connection is kept. Must be shorter than the peers' own idle timeouts, so
    /// that no request is sent on a connection that the peer is closing.
    std::chrono::milliseconds idle_timeout{5000};
    /// Limit of what the kernel buffers of responses, shared by the requests in progress. Each
    /// connection gets 8 KiB to 128 KiB of it.
    std::size_t receive_buffer_bytes = 8U << 20U;
    /// Accepts responses without a length, which end when the connection closes. They are complete
    /// only once the peer has received the whole request, unless it resets the connection before.
    /// Such a response looks complete if the peer fails later, or closes the connection in order.
    bool accepts_close_delimited = false;
};

/// A connection is closed after a response with the status 408, 421, 429 or 503, so that a late
/// second copy of it is never read as the response to another request.
/// Must be used on the loop's thread only.
class client {
public:
    client(loop& owner, client_settings settings);
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;
    client(client&&) = delete;
    client& operator=(client&&) = delete;

    /// Starts a request. Callbacks are invoked later, never from within this function.
    std::unique_ptr<client_call> send(client_request request, call_callbacks callbacks);

    /// Sends a request and collects the response, whose body may have at most `max_body` bytes.
    std::unique_ptr<client_call> fetch(
        client_request request, std::size_t max_body,
        std::function<void(base::result<std::pair<response_head, std::string>>, bool request_sent)>
            on_end);

    /// Internal to the module.
    struct impl;

private:
    std::shared_ptr<impl> m_impl;
};

} // namespace snipeshore::http
