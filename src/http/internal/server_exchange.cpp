#include "http/internal/server_exchange.h"

#include "base/time.h"
#include "http/internal/connection_state.h"
#include "http/internal/message_check.h"
#include "http/internal/server_impl.h"
#include "http/internal/socket_address.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <new>
#include <optional>
#include <utility>

namespace snipeshore::http {

namespace {

constexpr int http_1_1 = 0x101;
constexpr int status_internal_error = 500;

/// Headers that h2o adds itself.
constexpr std::array<std::string_view, 2> h2o_headers = {"date", "server"};

std::string to_string(const h2o_iovec_t& text)
{
    return text.base == nullptr ? std::string() : std::string(text.base, text.len);
}

const char* reason_of(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 204:
        return "No Content";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 403:
        return "Forbidden";
    case 404:
        return "Not Found";
    case 409:
        return "Conflict";
    case 413:
        return "Content Too Large";
    case 429:
        return "Too Many Requests";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

bool is_h2o_header(std::string_view name)
{
    return std::find(h2o_headers.begin(), h2o_headers.end(), name) != h2o_headers.end();
}

/// h2o stamps requests with the wall clock. A larger change of its offset since the last request of
/// the connection is a step of the clock; adjustments by NTP are below 0.5 ms a second.
constexpr std::chrono::milliseconds max_clock_adjustment{100};

/// When h2o read the first bytes of the request; empty if the wall clock was set meanwhile.
std::optional<base::time_point> first_bytes_read_at(const h2o_req_t& request,
                                                    server_connection& connection)
{
    const base::duration offset = wall_clock_offset();
    const base::duration before = std::exchange(connection.wall_clock_offset, offset);
    const timeval& begin = request.timestamps.request_begin_at;
    if (begin.tv_sec == 0 || std::chrono::abs(offset - before) > max_clock_adjustment) {
        return std::nullopt;
    }
    const base::duration wall_time =
        std::chrono::seconds(begin.tv_sec) + std::chrono::microseconds(begin.tv_usec);
    return base::time_point(wall_time - offset);
}

/// Resets the connection, even if data is waiting to be sent.
void reset_now(int descriptor)
{
    const sockaddr unspecified{AF_UNSPEC, {}};
    connect(descriptor, &unspecified, sizeof(unspecified)); // NOLINT(bugprone-unused-return-value)
}

} // namespace

request_head read_head(const h2o_req_t& request)
{
    request_head head;
    head.method = to_string(request.input.method);
    head.path = to_string(request.input.path);
    head.authority = to_string(request.input.authority);
    head.headers.reserve(request.headers.size);
    for (std::size_t i = 0; i < request.headers.size; ++i) {
        const h2o_header_t& one = request.headers.entries[i];
        head.headers.push_back({to_string(*one.name), to_string(one.value)});
    }
    return head;
}

base::time_point arrival_of(const h2o_req_t& request)
{
    server_connection& connection = *connection_of(request);
    const base::time_point last_bytes_at = last_bytes_received_at(connection.descriptor);
    return std::min(last_bytes_at,
                    first_bytes_read_at(request, connection).value_or(last_bytes_at));
}

server_connection* connection_of(const h2o_req_t& request)
{
    h2o_socket_t* socket = request.conn->callbacks->get_socket(request.conn);
    return static_cast<server_connection*>(socket->on_close.data);
}

struct server_exchange::pool_slot {
    std::shared_ptr<server_exchange> exchange;
};

std::shared_ptr<server_exchange> server_exchange::create(server::impl& owner, h2o_req_t& request)
{
    auto made = std::make_shared<server_exchange>(owner, request);
    void* memory = h2o_mem_alloc_shared(&request.pool, sizeof(pool_slot), on_dispose);
    new (memory) pool_slot{made};
    server_connection* connection = connection_of(request);
    connection->is_http2 = !made->is_http1();
    if (made->is_http1()) {
        connection->running = made;
        connection->body_deadline.reset();
        made->m_is_closed = connection->has_caller_disconnected;
    }
    owner.exchange_started(made);
    return made;
}

server_exchange::server_exchange(server::impl& owner, h2o_req_t& request)
    : m_owner(&owner), m_loop(&owner.owner), m_request(&request),
      m_is_last_of_caller(request.http1_is_persistent == 0 && !owner.is_draining()),
      m_received_at(arrival_of(request))
{
    m_generator.super.proceed = on_proceed;
    m_generator.super.stop = on_stop;
    m_generator.self = this;
    read_request();
}

void server_exchange::read_request()
{
    m_head = read_head(*m_request);
    m_body = to_string(m_request->entity);
    socket_address peer;
    if (m_request->conn->callbacks->get_peername(m_request->conn, peer.get()) != 0) {
        m_peer_address = format_address(peer.get());
    }
}

const request_head& server_exchange::head() const
{
    return m_head;
}

std::string_view server_exchange::body() const
{
    return m_body;
}

const std::string& server_exchange::peer_address() const
{
    return m_peer_address;
}

base::time_point server_exchange::received_at() const
{
    return m_received_at;
}

bool server_exchange::is_caller_connected() const
{
    return m_request != nullptr && !m_is_closed &&
           is_peer_connected(connection_of(*m_request)->descriptor);
}

bool server_exchange::is_http1() const
{
    return m_request != nullptr && m_request->version < http_2_0;
}

bool server_exchange::should_linger() const
{
    const bool must_reset = m_is_aborted && ends_with_connection();
    return !must_reset && !m_is_closed && !m_is_last_of_caller;
}

bool server_exchange::ends_with_connection() const
{
    return m_request->version < http_1_1 && !m_length;
}

bool server_exchange::is_bound() const
{
    return m_request != nullptr;
}

server_connection* server_exchange::connection() const
{
    return m_request == nullptr ? nullptr : connection_of(*m_request);
}

void server_exchange::respond(response_head head, std::string body)
{
    if (m_request == nullptr || m_phase != phase::waiting) {
        return;
    }
    if (m_head.method != "HEAD" || !body.empty()) {
        head.content_length = body.size();
    }
    begin_response(head);
    m_pending = std::move(body);
    m_written = m_pending.size();
    m_is_finished = true;
    send_pending();
}

void server_exchange::start_response(response_head head)
{
    if (m_request == nullptr || m_phase != phase::waiting) {
        return;
    }
    begin_response(head);
    schedule_flush();
}

void server_exchange::write(std::string chunk)
{
    if (m_request == nullptr || m_phase != phase::open || m_is_finished || m_is_aborted) {
        return;
    }
    m_written += chunk.size();
    if (m_length && m_written > *m_length && m_has_body) {
        abort();
        return;
    }
    m_pending += chunk;
    m_is_chunk_sent = true;
    if (!m_is_sending) {
        send_pending();
    }
}

void server_exchange::finish()
{
    if (m_request == nullptr || m_phase != phase::open || m_is_finished || m_is_aborted) {
        return;
    }
    if (m_has_body && m_length && m_written != *m_length) {
        abort();
        return;
    }
    m_is_finished = true;
    if (!m_is_sending) {
        send_pending();
    }
}

void server_exchange::abort()
{
    if (m_request == nullptr || m_phase == phase::ended || m_is_finished || m_is_aborted) {
        return;
    }
    if (m_phase == phase::waiting) {
        m_request->http1_is_persistent = 0;
        response_head failed;
        failed.status = status_internal_error;
        respond(std::move(failed), "");
        return;
    }
    m_is_aborted = true;
    if (!m_is_sending) {
        send_error();
        return;
    }
    schedule_reset();
}

void server_exchange::schedule_reset()
{
    // A caller that has stopped reading would block the request, and with it a drain. An HTTP/2
    // connection is not reset, as that would abort the caller's other requests.
    const base::time_point end = base::boot_clock::now() + m_owner->settings.linger_timeout;
    m_loop->schedule(end, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->is_http1()) {
            reset_now(connection_of(*self->m_request)->descriptor);
        }
    });
}

void server_exchange::on_writable(std::function<void()> callback)
{
    m_on_writable = std::move(callback);
}

void server_exchange::on_closed(std::function<void()> callback)
{
    m_on_closed = std::move(callback);
    if (m_is_closed) {
        m_loop->schedule(base::boot_clock::now(), [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->report_closed();
            }
        });
    }
}

void server_exchange::begin_response(const response_head& head)
{
    m_phase = phase::open;
    if (is_http1() && m_owner->is_draining()) {
        // The responses to pipelined requests that were passed on follow on this connection.
        m_request->http1_is_persistent = connection()->pipelined.empty() ? 0 : 1;
    }
    m_has_body = has_response_body(m_head.method, head.status);
    m_length = head.content_length;
    m_request->res.status = head.status;
    m_request->res.reason = reason_of(head.status);
    m_request->res.content_length = head.content_length ? *head.content_length : SIZE_MAX;
    add_headers(head.headers);
    h2o_start_response(m_request, &m_generator.super);
}

void server_exchange::add_headers(const header_list& headers)
{
    h2o_mem_pool_t* pool = &m_request->pool;
    for (const header& one : headers) {
        if (is_framing_header(one.name) || is_h2o_header(one.name) || !is_token(one.name) ||
            !is_header_value(one.value)) {
            continue;
        }
        const h2o_iovec_t name = h2o_strdup(pool, one.name.data(), one.name.size());
        const h2o_iovec_t value = h2o_strdup(pool, one.value.data(), one.value.size());
        h2o_add_header_by_str(pool, &m_request->res.headers, name.base, name.len, 1, nullptr,
                              value.base, value.len);
    }
}

void server_exchange::schedule_flush()
{
    // Delays the head to the end of the loop's round, so that a first chunk that is written
    // immediately is sent in the same packet.
    m_loop->schedule(base::boot_clock::now(), [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->m_request != nullptr && !self->m_is_head_sent) {
            self->send_pending();
        }
    });
}

void server_exchange::send_pending()
{
    if (m_is_aborted) {
        send_error();
        return;
    }
    m_in_flight = std::exchange(m_pending, {});
    if (!m_has_body) {
        m_in_flight.clear();
    }
    if (m_is_finished) {
        m_phase = phase::ended;
        send(H2O_SEND_STATE_FINAL);
        return;
    }
    if (m_is_head_sent && m_in_flight.empty()) {
        // h2o treats an empty chunk after the head as the end of the response.
        proceed_later();
        return;
    }
    send(H2O_SEND_STATE_IN_PROGRESS);
}

void server_exchange::proceed_later()
{
    m_is_sending = true;
    m_loop->schedule(base::boot_clock::now(), [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->m_request != nullptr) {
            self->proceed();
        }
    });
}

void server_exchange::send(h2o_send_state_t state)
{
    m_is_sending = true;
    m_is_head_sent = true;
    h2o_iovec_t chunk = h2o_iovec_init(m_in_flight.data(), m_in_flight.size());
    h2o_send(m_request, &chunk, m_in_flight.empty() ? 0 : 1, state);
}

void server_exchange::send_error()
{
    const auto keep = shared_from_this();
    m_phase = phase::ended;
    m_pending.clear();
    m_in_flight.clear();
    if (ends_with_connection()) {
        reset_on_close(connection_of(*m_request)->descriptor);
    } else if (is_http1() && !m_length) {
        // h2o marks an aborted chunked response with bytes that are not a valid chunk; a client
        // should only see the connection close before the last chunk.
        shutdown(connection_of(*m_request)->descriptor, SHUT_WR);
    }
    send(H2O_SEND_STATE_ERROR);
}

void server_exchange::on_proceed(h2o_generator_t* self, h2o_req_t* /*request*/)
{
    reinterpret_cast<generator*>(self)->self->proceed();
}

void server_exchange::on_stop(h2o_generator_t* /*self*/, h2o_req_t* /*request*/)
{
    // h2o always disposes of the request's pool after this call, and `on_dispose` does the cleanup.
}

void server_exchange::on_dispose(void* slot)
{
    auto* held = static_cast<pool_slot*>(slot);
    const auto self = std::move(held->exchange);
    held->~pool_slot();
    self->detach();
}

void server_exchange::proceed()
{
    const auto keep = shared_from_this();
    m_is_sending = false;
    m_in_flight.clear();
    if (m_is_aborted || m_is_finished || !m_pending.empty()) {
        send_pending();
        return;
    }
    if (std::exchange(m_is_chunk_sent, false) && m_on_writable) {
        const auto callback = m_on_writable;
        callback();
    }
}

void server_exchange::detach()
{
    m_request = nullptr;
    m_is_sending = false;
    m_owner->exchange_ended(this);
    if (m_phase == phase::ended) {
        m_on_writable = nullptr;
        m_on_closed = nullptr;
        return;
    }
    m_is_closed = true;
    // h2o is still closing the connection here, and the callback may use other sockets.
    m_loop->schedule(base::boot_clock::now(),
                     [self = shared_from_this()] { self->report_closed(); });
}

void server_exchange::report_closed()
{
    const auto callback = std::exchange(m_on_closed, nullptr);
    m_on_writable = nullptr;
    if (callback) {
        callback();
    }
}

void server_exchange::on_caller_disconnected()
{
    const auto keep = shared_from_this();
    m_is_closed = true;
    if (m_phase != phase::ended) {
        report_closed();
    }
    if (m_request == nullptr) {
        return;
    }
    // Makes chunks in flight fail immediately, so that h2o releases the connection.
    shutdown(connection_of(*m_request)->descriptor, SHUT_RDWR);
    abort();
}

void server_exchange::abort_silently()
{
    m_on_writable = nullptr;
    m_on_closed = nullptr;
    abort();
}

} // namespace snipeshore::http
