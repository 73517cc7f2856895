/// @file HTTP/1.1 and HTTP/2 server.
#pragma once

#include "base/result.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace snipeshore::http {

class exchange;
class loop;
struct request_head;

struct server_settings {
    std::string address;          ///< "ip:port"; port 0 picks a free one.
    std::string certificate_file; ///< PEM; empty means no TLS.
    std::string key_file;
    /// A larger body is refused: HTTP/1.1 with 413, HTTP/2 by a reset of the stream.
    std::size_t max_request_bytes = 1U << 20U;
    std::chrono::milliseconds idle_timeout{60000}; ///< HTTP/2 connections without a request.
    /// Time to receive a request; h2o applies it to idle HTTP/1.1 connections as well.
    std::chrono::milliseconds request_timeout{10000};
    std::size_t max_connections = 10000; ///< Further ones wait in the listen backlog.
};

using request_handler = std::function<void(std::shared_ptr<exchange>)>;

/// Listens on one address. Belongs to the loop's thread; the loop has to outlive it. A caller that
/// closes its sending side while its request runs counts as gone. The destructor breaks off what
/// still runs and calls no callback.
class server {
public:
    server(loop& owner, request_handler handler);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    server(server&&) = delete;
    server& operator=(server&&) = delete;

    base::status listen(const server_settings& settings);

    /// Requests that a caller sends on an HTTP/1.1 connection without awaiting the answers to
    /// earlier ones reach the handler one after the other. Those that pass `filter` reach it at
    /// once; their answers wait for their turn. They may be dropped without an answer when the
    /// connection ends before, so they have to be idempotent. To be set before `listen`.
    void allow_pipelining(std::function<bool(const request_head&)> filter);

    /// Changes `server_settings::request_timeout` of open and new connections.
    void set_request_timeout(std::chrono::milliseconds timeout);

    /// Address that is bound, "ip:port".
    std::string bound_address() const;

    std::size_t open_connections() const;

    /// Number of requests without a complete answer.
    std::size_t active_requests() const;

    /// Stops accepting, tells connections to close after their requests (HTTP/2: GOAWAY) and calls
    /// `on_idle` when no request is left. Requests that arrive on open connections shortly after
    /// are still served, as HTTP/1.1 cannot announce the drain on an idle connection.
    void drain(std::function<void()> on_idle);

    /// For the module's own implementation.
    struct impl;

private:
    std::shared_ptr<impl> m_impl;
};

} // namespace snipeshore::http
