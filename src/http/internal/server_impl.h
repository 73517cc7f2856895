/// @file State of a server; internal to the module.
#pragma once

#include "base/time.h"
#include "http/internal/caller_watch.h"
#include "http/internal/h2o.h"
#include "http/internal/lingering_connections.h"
#include "http/internal/loop_impl.h"
#include "http/server.h"
#include "http/types/message.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace snipeshore::http {

class pipelined_exchange;
class server_exchange;
struct server_connection;

/// After this time, a request of which bytes have arrived is looked at if it is not complete.
inline constexpr std::chrono::milliseconds body_check_delay{100};

inline constexpr int http_2_0 = 0x200; ///< As in `h2o_req_t::version`.

/// Outlives the `server` until its connections are closed.
struct server::impl final : socket_owner, std::enable_shared_from_this<server::impl> {
    impl(loop& owner, request_handler handler);
    ~impl() override;
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;
    impl(impl&&) = delete;
    impl& operator=(impl&&) = delete;

    base::status listen(const server_settings& wanted);
    void drain(std::function<void()> on_idle);
    void set_request_timeout(std::chrono::milliseconds timeout);

    /// Aborts all requests and closes all connections when the `server` is destroyed.
    void shut_down();

    bool is_closed() const override;
    bool is_draining() const;
    bool is_delivering() const;
    std::size_t lingering_count() const;

    /// See `server::allow_pipelining`.
    std::function<bool(const request_head&)> may_pipeline;

    /// See `server::limit_bodies`.
    body_limit bodies;

    void connection_closed(std::uint64_t id);
    void exchange_started(const std::shared_ptr<server_exchange>& exchange);
    void exchange_ended(const server_exchange* exchange);

    loop& owner;
    request_handler handler;
    server_settings settings;
    std::string bound_address;
    std::unordered_map<std::uint64_t, std::unique_ptr<server_connection>> connections;
    std::unordered_map<const server_exchange*, std::weak_ptr<server_exchange>> exchanges;

private:
    struct h2o_handler;
    struct h2o_logger;

    base::status open_tls();
    base::status open_listener();
    void configure();
    void set_accepting(bool accepting);
    void accept_waiting();
    void accept_if_possible();
    void accept_one(h2o_socket_t* socket);
    void stop_listening();
    void on_caller_event(std::uint64_t id, caller_event event);
    void on_caller_disconnected(server_connection& connection);
    bool is_pipelining_enabled() const;
    /// Reads further bytes from the caller into the free space of h2o's buffer.
    static void read_more(server_connection& connection);
    /// Passes requests that the caller has pipelined after the one in progress to the handler.
    void start_pipelined_requests(server_connection& connection);
    /// The pipelined exchange of the request that h2o has just reported; null if there is none.
    static std::shared_ptr<pipelined_exchange> take_pipelined(server_connection& connection,
                                                              const request_head& head);
    void drop_pipelined(server_connection& connection);
    /// Called when h2o is about to dispose of a request, and to close the connection if it is not
    /// persistent.
    void on_request_end(const h2o_req_t& request);
    /// Makes the connection linger when h2o closes it.
    static void linger_on_close(server_connection& connection);
    bool is_limiting_bodies() const;
    /// Keeps the earlier one if a check is scheduled already.
    void schedule_body_check(base::time_point time);
    /// Refuses the requests whose bodies are late.
    void check_bodies();
    void refuse_unfinished(server_connection& connection, const request_head& head);
    void check_idle();
    void end_drain();
    int on_request(h2o_req_t* request);

    static void on_connection(h2o_socket_t* listener, const char* failure);
    static int on_request_entry(h2o_handler_t* self, h2o_req_t* request);
    static void on_request_end_entry(h2o_logger_t* self, h2o_req_t* request);

    h2o_globalconf_t m_config{};
    h2o_context_t m_context{};
    h2o_accept_ctx_t m_accept{};
    bool m_is_configured = false;
    bool m_is_draining = false;
    bool m_is_shut_down = false;
    SSL_CTX* m_tls = nullptr;
    h2o_socket_t* m_listener = nullptr;
    std::unique_ptr<caller_watch> m_watch;
    std::optional<lingering_connections> m_lingering; ///< Set while the server is listening.
    std::uint64_t m_last_connection = 0;
    std::function<void()> m_on_idle;
    timer_id m_idle_timer = 0;
    timer_id m_body_timer = 0; ///< Set while bodies may be incomplete.
    base::time_point m_body_check_at{};
};

/// One accepted connection.
struct server_connection {
    server_connection() = default;
    ~server_connection();
    server_connection(const server_connection&) = delete;
    server_connection& operator=(const server_connection&) = delete;
    server_connection(server_connection&&) = delete;
    server_connection& operator=(server_connection&&) = delete;

    std::uint64_t id = 0;
    server::impl* owner = nullptr;
    h2o_socket_t* socket = nullptr;
    int descriptor = -1;
    int lingering_descriptor = -1; ///< Keeps the socket open after h2o has closed it; -1: unset.
    bool is_http2 = false;
    bool has_caller_disconnected = false;
    std::optional<base::time_point> body_deadline; ///< Of a request with an incomplete body.
    base::duration wall_clock_offset{0}; ///< To the boot clock, at the start of the last request.
    std::weak_ptr<server_exchange> running; ///< HTTP/1 only: the request in progress.
    std::deque<std::shared_ptr<pipelined_exchange>> pipelined; ///< The requests after it, in order.
};

server_connection* connection_of(const h2o_req_t& request);

} // namespace snipeshore::http
