/// @file HTTP/1.1 and HTTP/2 server.
#pragma once

#include "base/result.h"
#include "base/time.h"
#include "http/types/message.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace snipeshore::http {

class exchange;
class loop;

struct server_settings {
    std::string address;          ///< "ip:port"; port 0 selects a free port.
    std::string certificate_file; ///< PEM; empty means no TLS.
    std::string key_file;
    /// Larger bodies are rejected: with status 413 over HTTP/1.1, with a stream reset over HTTP/2.
    std::size_t max_request_bytes = 1U << 20U;
    std::chrono::milliseconds idle_timeout{60000}; ///< For HTTP/2 connections without a request.
    /// Time to receive a request; h2o applies it to idle HTTP/1.1 connections as well.
    std::chrono::milliseconds request_timeout{10000};
    std::size_t max_connections = 10000; ///< Further connections wait in the listen backlog.
    /// How long a caller may take to close its end after the server has closed the connection
    /// behind a response. Longer than a full send buffer takes at 10 Mbit/s.
    std::chrono::milliseconds linger_timeout{5000};
};

using request_handler = std::function<void(std::shared_ptr<exchange>)>;

/// Ends requests whose bodies do not arrive in time.
struct body_limit {
    /// When the body of the request, whose first bytes came at `arrived`, has to be complete.
    std::function<base::time_point(const request_head&, base::time_point arrived)> deadline;
    /// The response to a request whose body is late. The handler never gets that request.
    std::function<std::pair<response_head, std::string>(const request_head&)> refuse;
};

/// Listens on one address. Must be used on the loop's thread only, and the loop has to outlive it.
/// A caller that closes its sending side while its request is in progress counts as disconnected.
/// The destructor aborts the requests in progress without calling their callbacks.
class server {
public:
    server(loop& owner, request_handler handler);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    server(server&&) = delete;
    server& operator=(server&&) = delete;

    base::status listen(const server_settings& settings);

    /// By default, pipelined requests on an HTTP/1.1 connection are passed to the handler one after
    /// the other. Those that `filter` accepts are passed on immediately; their responses are sent
    /// in the order of the requests. They may be dropped without a response if the connection
    /// closes first, so they have to be idempotent. Must be called before `listen`.
    void allow_pipelining(std::function<bool(const request_head&)> filter);

    /// Applies to HTTP/1.1 without TLS. Must be called before `listen`. Without it, and elsewhere,
    /// only `server_settings::request_timeout` ends a request whose body does not arrive.
    void limit_bodies(body_limit limit);

    /// Changes `server_settings::request_timeout` of open and new connections.
    void set_request_timeout(std::chrono::milliseconds timeout);

    /// The bound address, "ip:port".
    std::string bound_address() const;

    std::size_t open_connections() const;

    /// Number of connections that the server has closed and their callers have not.
    std::size_t lingering_count() const;

    /// Number of requests whose response is not complete.
    std::size_t active_requests() const;

    /// Whether a response may not have reached its caller yet.
    bool is_delivering() const;

    /// Stops accepting connections, makes open connections close after the requests that were
    /// passed to the handler (HTTP/2: GOAWAY) and calls `on_idle` when no request is left and the
    /// callers have received the responses or `linger_timeout` has passed. Requests that arrive on
    /// open connections shortly afterwards are still served, as HTTP/1.1 cannot announce the drain
    /// on an idle connection.
    void drain(std::function<void()> on_idle);

    /// Internal to the module.
    struct impl;

private:
    std::shared_ptr<impl> m_impl;
};

} // namespace snipeshore::http
