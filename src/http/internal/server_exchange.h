/// @file The server's implementation of `exchange`.
#pragma once

#include "http/exchange.h"
#include "http/internal/h2o.h"
#include "http/server.h"

#include <cstdint>
#include <memory>

namespace snipeshore::http {

struct server_connection;

request_head read_head(const h2o_req_t& request);

/// When the first bytes of the request arrived, as far as it is known.
base::time_point arrival_of(const h2o_req_t& request);

/// Refers to an h2o request until h2o disposes of the request.
class server_exchange final : public exchange,
                              public std::enable_shared_from_this<server_exchange> {
public:
    /// Creates the exchange; the request's memory pool holds a reference to it.
    static std::shared_ptr<server_exchange> create(server::impl& owner, h2o_req_t& request);

    server_exchange(server::impl& owner, h2o_req_t& request);

    const request_head& head() const override;
    std::string_view body() const override;
    const std::string& peer_address() const override;
    base::time_point received_at() const override;
    bool is_caller_connected() const override;
    void respond(response_head head, std::string body) override;
    void start_response(response_head head) override;
    void write(std::string chunk) override;
    void finish() override;
    void abort() override;
    void on_writable(std::function<void()> callback) override;
    void on_closed(std::function<void()> callback) override;

    bool is_http1() const;

    /// Whether the connection has to linger if it is closed behind this response, also if the
    /// response was aborted: responses before it may not have been delivered. A response whose end
    /// is that of the connection is reset instead, so that no caller takes it for complete.
    bool should_linger() const;

    /// Whether h2o has not yet disposed of the request.
    bool is_bound() const;

    /// The connection; null once h2o has disposed of the request.
    server_connection* connection() const;

    /// Invokes `on_closed` and shuts the connection down.
    void on_caller_disconnected();

    /// Aborts the response without calling the callbacks.
    void abort_silently();

private:
    /// `h2o_generator_t` with a pointer to its exchange.
    struct generator {
        h2o_generator_t super;
        server_exchange* self;
    };

    struct pool_slot;

    enum class phase { waiting, open, ended };

    static void on_proceed(h2o_generator_t* self, h2o_req_t* request);
    static void on_stop(h2o_generator_t* self, h2o_req_t* request);
    static void on_dispose(void* slot);

    void read_request();
    void begin_response(const response_head& head);
    void add_headers(const header_list& headers);
    void send_pending();
    void send(h2o_send_state_t state);
    void send_error();
    void proceed();
    void proceed_later();
    void detach();
    void report_closed();
    void schedule_flush();
    void schedule_reset();
    /// Whether the response has neither a length nor chunks.
    bool ends_with_connection() const;

    server::impl* m_owner;
    loop* m_loop;
    h2o_req_t* m_request;
    bool m_is_last_of_caller; ///< The caller has announced that no request follows.
    generator m_generator{};
    request_head m_head;
    std::string m_body;
    std::string m_peer_address;
    base::time_point m_received_at;

    phase m_phase = phase::waiting;
    bool m_is_sending = false; ///< h2o is sending a chunk and has not asked for more.
    bool m_is_head_sent = false;
    bool m_is_chunk_sent = false; ///< The chunk in flight was passed to `write`.
    bool m_is_finished = false;   ///< `finish` was called.
    bool m_is_aborted = false;    ///< `abort` was called, or the body does not match its length.
    bool m_is_closed = false;     ///< The caller has disconnected.
    bool m_has_body = true;
    std::optional<std::uint64_t> m_length;
    std::uint64_t m_written = 0;
    std::string m_in_flight;
    std::string m_pending;
    std::function<void()> m_on_writable;
    std::function<void()> m_on_closed;
};

} // namespace snipeshore::http
