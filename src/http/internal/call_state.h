/// @file State of one client request from its admission to its completion.
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

/// Referenced by the h2o client and by the user's handle; lives until both have released it.
class call_state : public std::enable_shared_from_this<call_state> {
public:
    call_state(std::shared_ptr<client::impl> owner, client_request request,
               call_callbacks callbacks);

    void start_deadline_timer();

    /// Obtains a connection and sends the request.
    void start(peer& to);

    /// Ends a call that has no connection. The callback is invoked in a later round of the loop.
    void fail_later(base::error failure);

    void cancel();
    void pause();
    void resume();

    bool request_sent() const;

    /// Whether the request head is valid, so that writing it cannot alter the message framing.
    bool is_sendable() const;

    const std::string& address() const;

    /// Whether the call is counted in `peer::active`.
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

    /// Installs callbacks that check the response head before h2o reads it.
    void install_head_check();
    static void on_request_written(h2o_socket_t* socket, const char* failure);
    static void on_head_bytes(h2o_socket_t* socket, const char* failure);
    static void on_close_delimited_bytes(h2o_socket_t* socket, const char* failure);
    /// Installs a callback that decides whether the end of the connection completes a
    /// close-delimited response. h2o treats every end as the end of the response.
    void install_close_check();
    /// Completes a close-delimited response once the peer has received the whole request. A peer
    /// that closes earlier may have failed within its response.
    void complete_when_request_received();

    void write_request();
    bool read_head(int status, const h2o_header_t* headers, std::size_t count,
                   std::size_t head_length);
    bool read_framing(const header_list& headers);
    void finish_without_body(bool is_valid, std::size_t head_length);
    /// Whether the connection must not be reused after the response.
    bool must_close_connection() const;
    void deliver_body();
    void finish_body(bool is_last_chunk_read);
    void apply_pause();
    base::error head_failure(std::string_view cause) const;
    void deadline_passed();
    void connect_timed_out();
    void end(base::status outcome);
    void end_and_close(base::status outcome);
    /// Keeps the kernel from sending what the peer has not acknowledged yet, once the connection is
    /// closed.
    void drop_undelivered_request();
    void close_connection();
    void release_connection();

    std::shared_ptr<client::impl> m_owner;
    client_request m_request;
    call_callbacks m_callbacks;
    phase m_phase = phase::waiting;
    framing m_framing = framing::none;
    response_head m_head;
    h2o_http1client_t* m_h2o = nullptr;
    std::shared_ptr<h2o_socketpool_t> m_own_pool; ///< Set if the call needs a new connection.
    h2o_iovec_t m_request_buffer{};
    std::string m_encoded_request;
    /// h2o's callbacks that `on_request_written`, `on_head_bytes` and `on_close_delimited_bytes`
    /// replace.
    h2o_socket_cb m_write_callback = nullptr;
    h2o_socket_cb m_head_reader = nullptr;
    h2o_socket_cb m_close_delimited_reader = nullptr;
    h2o_socket_cb m_paused_reader = nullptr; ///< h2o's read callback while reading is paused.
    bool m_is_in_h2o = false;                ///< A callback of h2o is running; only h2o may close.
    bool m_is_paused = false;
    bool m_is_sent = false;
    bool m_has_body = false;
    timer_id m_deadline_timer = 0;
    timer_id m_connect_timer = 0;
    timer_id m_request_check_timer = 0;
};

} // namespace snipeshore::http
