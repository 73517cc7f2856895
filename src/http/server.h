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

struct server_settings {
    std::string address;          ///< "ip:port"; port 0 picks a free one.
    std::string certificate_file; ///< PEM; empty means no TLS.
    std::string key_file;
    std::size_t max_request_bytes = 1U << 20U;
    std::chrono::milliseconds idle_timeout{60000};
    std::chrono::milliseconds request_timeout{10000};
    std::size_t max_connections = 10000;
};

using request_handler = std::function<void(std::shared_ptr<exchange>)>;

/// Listens on one address. Belongs to the loop's thread.
class server {
public:
    server(loop& owner, request_handler handler);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    server(server&&) = delete;
    server& operator=(server&&) = delete;

    base::status listen(const server_settings& settings);

    /// Address that is bound, "ip:port".
    std::string bound_address() const;

    std::size_t open_connections() const;

    /// Number of requests without a complete answer.
    std::size_t active_requests() const;

    /// Stops accepting, tells connections to close after their requests (HTTP/2: GOAWAY) and calls
    /// `on_idle` when no request is left.
    void drain(std::function<void()> on_idle);

    /// For the module's own implementation.
    struct impl;

private:
    std::shared_ptr<impl> m_impl;
};

} // namespace snipeshore::http
