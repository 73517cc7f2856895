/// @file One request of the client from its admission to its end.
#pragma once

#include "base/time.h"
#include "http/client.h"
#include "http/internal/h2o.h"
#include "http/loop.h"

#include <cstdint>
#include <memory>
#include <string>

namespace snipeshore::http {

struct peer;

/// The h2o client refers to this object; it lives until both the h2o client and the handle of the
/// user have gone.
class call_state : public std::enable_shared_from_this<call_state> {
public:
    call_state(std::shared_ptr<client::impl> owner, client_request request,
               call_callbacks callbacks);

    /// Sets the timer for the deadline.
    void start_deadline_timer();

    /// Gets a connection and sends the request.
    void start(peer& to);

    /// Ends the call before it had a connection; the callback comes later.
    void fail_later(base::error failure);

    void cancel();
    void pause();
    void resume();

    bool request_sent() const;

    /// Whether the head can be written without changing the framing.
    bool is_sendable() const;

    const std::string& address() const;

    /// Whether the call holds a place among the peer's connections.
    bool is_active = false;

private:
    enum class phase { waiting, connecting, waiting_for_head, reading_body, ended };
    enum class framing { length, chunked, until_close, none };

    static h2o_http1client_head_cb on_connect(h2o_http1client_t* h2o, const char* failure,
                                              h2o_iovec_t** buffers, std::size_t* buffer_count,
                                              int* is_head);
    static h2o_http1client_body_cb on_head(h2o_http1client_t* h2o, const char* failure,
                                           int minor_version, int status, h2o_iovec_t message,
                                           h2o_header_t* headers, std::size_t header_count,
                                           int head_length);
    static int on_body(h2o_http1client_t* h2o, const char* failure);

    /// h2o 2.2.5 aborts the process on a response whose transfer-encoding or content-length it does
    /// not understand, and it does not limit the size of a head. So the head is checked before h2o
    /// reads it.
    void install_head_check();
    static void on_request_written(h2o_socket_t* socket, const char* failure);
    static void on_head_bytes(h2o_socket_t* socket, const char* failure);
    static void on_close_delimited_bytes(h2o_socket_t* socket, const char* failure);
    void install_reset_check();
    std::string_view head_error(std::string_view bytes) const;

    void write_request();
    bool read_head(int status, const h2o_header_t* headers, std::size_t count,
                   std::size_t head_length);
    bool read_framing(const header_list& headers);
    void finish_without_body(bool is_valid, std::size_t head_length);
    void deliver_body();
    void finish_body(bool is_last_chunk_read);
    void apply_pause();
    base::error head_failure(std::string_view cause) const;
    void deadline_passed();
    void connect_timed_out();
    void end(base::status outcome);
    void end_and_close(base::status outcome);
    void close_connection();
    void release_connection();

    std::shared_ptr<client::impl> m_owner;
    client_request m_request;
    call_callbacks m_callbacks;
    phase m_phase = phase::waiting;
    framing m_framing = framing::none;
    response_head m_head;
    h2o_http1client_t* m_h2o = nullptr;
    h2o_iovec_t m_request_buffer{};
    std::string m_encoded_request;
    h2o_socket_cb m_write_callback = nullptr; ///< h2o's callback behind `on_request_written`.
    h2o_socket_cb m_head_reader = nullptr;    ///< h2o's reader behind `on_head_bytes`.
    h2o_socket_cb m_close_delimited_reader = nullptr;
    h2o_socket_cb m_paused_reader = nullptr; ///< h2o's reader, while reading is paused.
    bool m_is_in_h2o = false; ///< A callback of h2o runs; it closes the connection itself.
    bool m_is_paused = false;
    bool m_is_sent = false;
    timer_id m_deadline_timer = 0;
    timer_id m_connect_timer = 0;
};

} // namespace snipeshore::http
