#include "http/internal/call_state.h"

#include "http/internal/client_impl.h"
#include "http/internal/connection_state.h"
#include "http/internal/loop_impl.h"
#include "http/internal/message_check.h"
#include "http/internal/response_head_check.h"

#include <algorithm>
#include <array>
#include <utility>

namespace snipeshore::http {

namespace {

/// Receive buffer of a connection without a request. A target that sends nevertheless would
/// otherwise fill the buffers of all its connections.
constexpr int idle_receive_buffer_bytes = 2 << 10;

/// Interval between checks whether a peer that has closed its end has received the whole request.
constexpr std::chrono::milliseconds request_check_interval{5};

/// Statuses with which a peer states that it did not run the request.
constexpr std::array<int, 4> refusal_statuses = {408, 421, 429, 503};

std::string to_string(const h2o_iovec_t& text)
{
    return text.base == nullptr ? std::string() : std::string(text.base, text.len);
}

base::error make_error(base::error_kind kind, const std::string& address, std::string_view cause)
{
    return {kind, address + ": " + std::string(cause)};
}

void set_receive_buffer(h2o_socket_t* socket, int bytes)
{
    setsockopt(h2o_socket_get_fd(socket), SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
}

bool sends_length(std::string_view method, std::string_view body)
{
    return !body.empty() || method == "POST" || method == "PUT" || method == "PATCH";
}

std::string write_head(const request_head& head, std::string_view body)
{
    std::string out =
        head.method + " " + head.path + " HTTP/1.1\r\nhost: " + head.authority + "\r\n";
    for (const header& one : head.headers) {
        if (!is_framing_header(one.name)) {
            out.append(one.name).append(": ").append(one.value).append("\r\n");
        }
    }
    if (sends_length(head.method, body)) {
        out.append("content-length: ").append(std::to_string(body.size())).append("\r\n");
    }
    out.append("\r\n");
    return out;
}

/// The timeout in a keep-alive header such as "timeout=5, max=100".
std::optional<std::chrono::seconds> announced_idle_time(const header_list& headers)
{
    constexpr std::string_view name = "timeout=";
    const std::string_view text = find_header(headers, "keep-alive").value_or("");
    const std::size_t at = text.find(name);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view rest = text.substr(at + name.size());
    const auto seconds = parse_length(rest.substr(0, rest.find_first_not_of("0123456789")));
    return seconds ? std::optional(std::chrono::seconds(*seconds)) : std::nullopt;
}

} // namespace

call_state::call_state(std::shared_ptr<client::impl> owner, client_request request,
                       call_callbacks callbacks)
    : m_owner(std::move(owner)), m_request(std::move(request)), m_callbacks(std::move(callbacks))
{}

void call_state::start_deadline_timer()
{
    const base::time_point end = m_request.head_deadline.value_or(m_request.deadline);
    m_deadline_timer = m_owner->owner.schedule(end, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->m_deadline_timer = 0;
            self->deadline_passed();
        }
    });
}

void call_state::start(peer& to)
{
    m_phase = phase::connecting;
    m_connect_timer = m_owner->owner.schedule(
        base::boot_clock::now() + m_owner->settings.connect_timeout, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->m_connect_timer = 0;
                self->connect_timed_out();
            }
        });
    const auto keep = shared_from_this();
    if (m_request.needs_new_connection) {
        m_own_pool = m_owner->make_pool(to);
    }
    h2o_http1client_connect_with_pool(&m_h2o, this, &m_owner->context,
                                      m_own_pool != nullptr ? m_own_pool.get() : &to.pool,
                                      on_connect);
    if (m_owner == nullptr) {
        m_h2o = nullptr; // The call has ended within `on_connect`, and h2o has freed its client.
    }
}

void call_state::fail_later(base::error failure)
{
    m_owner->owner.schedule(base::boot_clock::now(),
                            [self = shared_from_this(), failure = std::move(failure)] {
                                self->end_and_close(failure);
                            });
}

bool call_state::request_sent() const
{
    return m_is_sent;
}

bool call_state::is_sendable() const
{
    const request_head& head = m_request.head;
    return is_token(head.method) && is_request_target(head.path) &&
           is_header_value(head.authority) &&
           std::all_of(head.headers.begin(), head.headers.end(), [](const header& one) {
               return is_token(one.name) && is_header_value(one.value);
           });
}

const std::string& call_state::address() const
{
    return m_request.address;
}

h2o_http1client_head_cb call_state::on_connect(h2o_http1client_t* h2o, const char* failure,
                                               h2o_iovec_t** buffers, std::size_t* buffer_count,
                                               int* is_head)
{
    const auto self = static_cast<call_state*>(h2o->data)->shared_from_this();
    if (failure != nullptr) {
        // h2o may report the failure within `send`, but callbacks must not run there.
        self->fail_later(make_error(base::error_kind::connect_failed, self->address(), failure));
        self->release_connection();
        return nullptr;
    }
    if (self->m_request.before_write && !self->m_request.before_write(self->m_request.head)) {
        // h2o closes the connection.
        self->fail_later(
            make_error(base::error_kind::cancelled, self->address(), "request is not wanted now"));
        self->release_connection();
        return nullptr;
    }
    // With a pooled connection, h2o calls this function before it has set `m_h2o`.
    self->m_h2o = h2o;
    self->write_request();
    *buffers = &self->m_request_buffer;
    *buffer_count = 1;
    *is_head = self->m_request.head.method == "HEAD" ? 1 : 0;
    return on_head;
}

void call_state::write_request()
{
    if (m_connect_timer != 0) {
        m_owner->owner.cancel(std::exchange(m_connect_timer, 0));
    }
    set_receive_buffer(m_h2o->sock, m_owner->receive_buffer_bytes());
    m_encoded_request = write_head(m_request.head, m_request.body);
    m_encoded_request += m_request.body;
    m_has_body = !m_request.body.empty();
    m_request.body.clear();
    m_request.body.shrink_to_fit();
    m_request_buffer = h2o_iovec_init(m_encoded_request.data(), m_encoded_request.size());
    m_phase = phase::waiting_for_head;
    m_is_sent = true;
    // h2o installs its socket callbacks after this callback has returned, and reads once the loop
    // has waited for events.
    m_owner->owner.internals().run_before_wait([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->install_head_check();
        }
    });
}

void call_state::install_head_check()
{
    if (m_phase != phase::waiting_for_head || m_h2o == nullptr) {
        return;
    }
    h2o_socket_t* socket = m_h2o->sock;
    if (socket->_cb.write != nullptr) {
        m_write_callback = std::exchange(socket->_cb.write, on_request_written);
        return;
    }
    m_head_reader = std::exchange(socket->_cb.read, on_head_bytes);
}

void call_state::on_request_written(h2o_socket_t* socket, const char* failure)
{
    const auto* h2o = static_cast<h2o_http1client_t*>(socket->data);
    const auto self = static_cast<call_state*>(h2o->data)->shared_from_this();
    self->m_write_callback(socket, failure);
    self->install_head_check();
}

void call_state::on_head_bytes(h2o_socket_t* socket, const char* failure)
{
    const auto* h2o = static_cast<h2o_http1client_t*>(socket->data);
    const auto self = static_cast<call_state*>(h2o->data)->shared_from_this();
    if (failure == nullptr) {
        const auto fault = find_head_error({socket->input->bytes, socket->input->size},
                                           self->m_owner->settings.max_header_bytes);
        if (!fault.empty()) {
            self->end_and_close(
                make_error(base::error_kind::answer_invalid, self->address(), fault));
            return;
        }
    }
    self->m_head_reader(socket, failure);
    self->install_close_check();
}

h2o_http1client_body_cb call_state::on_head(h2o_http1client_t* h2o, const char* failure,
                                            int /*minor_version*/, int status,
                                            h2o_iovec_t /*message*/, h2o_header_t* headers,
                                            std::size_t header_count, int head_length)
{
    const auto self = static_cast<call_state*>(h2o->data)->shared_from_this();
    self->m_encoded_request.clear();
    self->m_encoded_request.shrink_to_fit();
    if (failure != nullptr && failure != h2o_http1client_error_is_eos) {
        const base::error cause = self->head_failure(failure);
        self->release_connection();
        self->end(cause);
        return nullptr;
    }
    const auto length = static_cast<std::size_t>(head_length);
    self->m_is_in_h2o = true;
    const bool is_valid = self->read_head(status, headers, header_count, length);
    if (failure == h2o_http1client_error_is_eos) {
        self->finish_without_body(is_valid, length);
        return nullptr;
    }
    if (is_valid && self->m_callbacks.on_head) {
        self->m_callbacks.on_head(self->m_head);
    }
    self->m_is_in_h2o = false;
    if (self->m_phase == phase::ended) {
        self->release_connection();
        return nullptr;
    }
    return on_body;
}

void call_state::install_close_check()
{
    if (m_phase != phase::reading_body || m_framing != framing::until_close || m_h2o == nullptr) {
        return;
    }
    // If the callbacks have paused the call, h2o's reader is the one to resume with.
    h2o_socket_cb& reader = m_paused_reader != nullptr ? m_paused_reader : m_h2o->sock->_cb.read;
    m_close_delimited_reader = std::exchange(reader, on_close_delimited_bytes);
}

void call_state::on_close_delimited_bytes(h2o_socket_t* socket, const char* failure)
{
    const auto* h2o = static_cast<h2o_http1client_t*>(socket->data);
    const auto self = static_cast<call_state*>(h2o->data)->shared_from_this();
    if (failure == h2o_socket_error_closed) {
        h2o_socket_read_stop(socket);
        self->complete_when_request_received();
        return;
    }
    if (failure != nullptr) {
        self->end_and_close(make_error(base::error_kind::answer_invalid, self->address(), failure));
        return;
    }
    self->m_close_delimited_reader(socket, failure);
}

void call_state::complete_when_request_received()
{
    h2o_socket_t* socket = m_h2o->sock;
    const int descriptor = h2o_socket_get_fd(socket);
    if (is_reset(descriptor)) {
        end_and_close(make_error(base::error_kind::answer_invalid, address(),
                                 "connection reset after the response"));
        return;
    }
    // A request without a body was received, as its head was answered.
    const delivery request = m_has_body ? delivery_of(descriptor) : delivery::acknowledged;
    if (request == delivery::acknowledged) {
        m_close_delimited_reader(socket, h2o_socket_error_closed);
        return;
    }
    if (request == delivery::unknown) {
        end_and_close(
            make_error(base::error_kind::answer_invalid, address(),
                       "no sign that the request was received before the response ended"));
        return;
    }
    m_request_check_timer = m_owner->owner.schedule(
        base::boot_clock::now() + request_check_interval, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->m_request_check_timer = 0;
                self->complete_when_request_received();
            }
        });
}

bool call_state::read_head(int status, const h2o_header_t* headers, std::size_t count,
                           std::size_t head_length)
{
    if (head_length > m_owner->settings.max_header_bytes) {
        end(make_error(base::error_kind::answer_invalid, address(), "response head is too large"));
        return false;
    }
    header_list all;
    all.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        all.push_back({to_string(*headers[i].name), to_string(headers[i].value)});
    }
    m_head.status = status;
    if (!read_framing(all)) {
        end(make_error(base::error_kind::answer_invalid, address(),
                       "response body length is missing, invalid or ambiguous"));
        return false;
    }
    if (const auto idle = announced_idle_time(all)) {
        m_owner->limit_idle_time(address(), *idle);
    }
    std::erase_if(all, [](const header& one) { return is_framing_header(one.name); });
    m_head.headers = std::move(all);
    m_phase = phase::reading_body;
    if (m_request.head_deadline.has_value()) {
        m_owner->owner.cancel(m_deadline_timer);
        m_request.head_deadline.reset();
        start_deadline_timer();
    }
    return true;
}

bool call_state::read_framing(const header_list& headers)
{
    bool is_chunked = false;
    for (const header& one : headers) {
        if (one.name == "transfer-encoding") {
            is_chunked = true;
        }
        if (one.name != "content-length") {
            continue;
        }
        const auto length = parse_length(one.value);
        if (!length || (m_head.content_length && *m_head.content_length != *length)) {
            return false;
        }
        m_head.content_length = length;
    }
    if (!has_response_body(m_request.head.method, m_head.status)) {
        // The client never requests an upgrade, so a response to one is not expected.
        return m_head.status >= first_final_status;
    }
    // h2o stores the length and the chunk decoder in the same memory, so a response must not have
    // both.
    if (is_chunked && m_head.content_length.has_value()) {
        return false;
    }
    if (!is_chunked && !m_head.content_length.has_value()) {
        m_framing = framing::until_close;
        return m_owner->settings.accepts_close_delimited;
    }
    m_framing = is_chunked ? framing::chunked : framing::length;
    return true;
}

bool call_state::must_close_connection() const
{
    // A second copy of a refusal would be read as the response to the next request and state that
    // it was not run.
    return m_phase == phase::ended || std::find(refusal_statuses.begin(), refusal_statuses.end(),
                                                m_head.status) != refusal_statuses.end();
}

void call_state::finish_without_body(bool is_valid, std::size_t head_length)
{
    if (is_valid && m_callbacks.on_head) {
        m_callbacks.on_head(m_head);
    }
    if (must_close_connection() || m_h2o->sock->input->size > head_length) {
        // Extra bytes after a response without a body would be read as the next response.
        h2o_socket_close(h2o_http1client_steal_socket(m_h2o));
    } else {
        set_receive_buffer(m_h2o->sock, idle_receive_buffer_bytes);
    }
    m_is_in_h2o = false;
    release_connection();
    end(std::monostate{});
}

int call_state::on_body(h2o_http1client_t* h2o, const char* failure)
{
    const auto self = static_cast<call_state*>(h2o->data)->shared_from_this();
    if (failure != nullptr && failure != h2o_http1client_error_is_eos) {
        self->release_connection();
        self->end(make_error(base::error_kind::answer_invalid, self->address(), failure));
        return -1;
    }
    // h2o treats a connection that closes between two chunks of the chunked encoding as a complete
    // response. The last chunk always arrives with bytes read, the close never does.
    const bool is_last_chunk_read = h2o->sock->bytes_read != 0;
    self->m_is_in_h2o = true;
    self->deliver_body();
    self->m_is_in_h2o = false;
    if (failure == h2o_http1client_error_is_eos) {
        if (self->must_close_connection()) {
            h2o_socket_close(h2o_http1client_steal_socket(h2o));
        } else {
            set_receive_buffer(h2o->sock, idle_receive_buffer_bytes);
        }
        self->release_connection();
        self->finish_body(is_last_chunk_read);
        return 0;
    }
    if (self->m_phase == phase::ended) {
        self->release_connection();
        return -1;
    }
    self->apply_pause();
    return 0;
}

void call_state::deliver_body()
{
    h2o_buffer_t** input = &m_h2o->sock->input;
    const std::size_t size = (*input)->size;
    if (size == 0) {
        return;
    }
    if (m_callbacks.on_body && m_phase != phase::ended) {
        m_callbacks.on_body(std::string_view((*input)->bytes, size));
    }
    h2o_buffer_consume(input, size);
}

void call_state::finish_body(bool is_last_chunk_read)
{
    if (m_phase == phase::ended) {
        return;
    }
    if (m_framing == framing::chunked && !is_last_chunk_read) {
        end(make_error(base::error_kind::answer_invalid, address(),
                       "connection closed before the last chunk"));
        return;
    }
    end(std::monostate{});
}

void call_state::pause()
{
    m_is_paused = true;
    if (!m_is_in_h2o && m_phase == phase::reading_body) {
        apply_pause();
    }
}

void call_state::apply_pause()
{
    if (!m_is_paused || m_paused_reader != nullptr || m_h2o == nullptr || m_h2o->sock == nullptr) {
        return;
    }
    m_paused_reader = m_h2o->sock->_cb.read;
    if (m_paused_reader != nullptr) {
        h2o_socket_read_stop(m_h2o->sock);
    }
}

void call_state::resume()
{
    m_is_paused = false;
    if (m_paused_reader != nullptr && m_h2o != nullptr && m_h2o->sock != nullptr) {
        h2o_socket_read_start(m_h2o->sock, std::exchange(m_paused_reader, nullptr));
    }
}

base::error call_state::head_failure(std::string_view cause) const
{
    const bool is_partial = m_h2o->sock != nullptr && m_h2o->sock->input->size != 0;
    const bool is_io = cause.substr(0, 3) == "I/O";
    const auto kind =
        is_io && !is_partial ? base::error_kind::target_failed : base::error_kind::answer_invalid;
    return make_error(kind, address(), cause);
}

void call_state::deadline_passed()
{
    const auto kind =
        m_is_sent ? base::error_kind::deadline_exceeded : base::error_kind::deadline_not_run;
    end_and_close(make_error(kind, address(), "deadline has passed"));
}

void call_state::connect_timed_out()
{
    end_and_close(
        make_error(base::error_kind::connect_failed, address(), "connection attempt timed out"));
}

void call_state::cancel()
{
    if (m_phase == phase::ended) {
        return;
    }
    const auto keep = shared_from_this();
    m_phase = phase::ended;
    close_connection();
}

void call_state::end_and_close(base::status outcome)
{
    if (m_phase == phase::ended) {
        return;
    }
    const auto keep = shared_from_this();
    close_connection();
    end(std::move(outcome));
}

void call_state::drop_undelivered_request()
{
    // Otherwise the kernel goes on sending it, and a peer that was out of reach runs it later. A
    // peer that has all of it only sees the connection close.
    if (m_is_sent && m_h2o != nullptr && m_h2o->sock != nullptr &&
        delivery_of(h2o_socket_get_fd(m_h2o->sock)) == delivery::pending) {
        reset_on_close(h2o_socket_get_fd(m_h2o->sock));
    }
}

void call_state::close_connection()
{
    drop_undelivered_request();
    // Within a callback of h2o, h2o itself closes the connection when the callback returns, as the
    // call has ended.
    if (m_h2o != nullptr && !m_is_in_h2o) {
        h2o_http1client_cancel(m_h2o);
    }
    if (!m_is_in_h2o) {
        release_connection();
    }
}

void call_state::release_connection()
{
    m_h2o = nullptr;
    m_paused_reader = nullptr;
    if (m_owner == nullptr) {
        return;
    }
    for (timer_id* timer : {&m_deadline_timer, &m_connect_timer, &m_request_check_timer}) {
        if (*timer != 0) {
            m_owner->owner.cancel(std::exchange(*timer, 0));
        }
    }
    m_owner->release(*this);
    if (m_owner->is_shut_down || m_own_pool != nullptr) {
        // h2o closes the connection or returns it to its pool after its callback has returned; the
        // pool has to exist until then.
        m_owner->owner.schedule(base::boot_clock::now(),
                                [last = m_owner, pool = std::move(m_own_pool)] {});
    }
    m_owner.reset();
}

void call_state::end(base::status outcome)
{
    if (m_phase == phase::ended) {
        return;
    }
    m_phase = phase::ended;
    const auto callbacks = std::exchange(m_callbacks, {});
    if (callbacks.on_end) {
        callbacks.on_end(call_end{std::move(outcome), m_is_sent});
    }
}

} // namespace snipeshore::http
