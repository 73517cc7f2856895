#include "tests/soak/open_caller.h"

#include "http/internal/socket_address.h"
#include "tests/soak/invariant_checker.h"
#include "tests/soak/soak_target.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <optional>
#include <string_view>
#include <utility>

namespace snipeshore::soak {

namespace {

using namespace std::chrono_literals;

constexpr auto reconnect_interval = 20ms;
constexpr int max_pause_ms = 120;
constexpr std::size_t max_batch = 4;

/// Of a slow caller: its receive buffer, what it reads at once, and how often it sends a batch
/// before the last one is answered (once in so many polls).
constexpr int small_buffer_bytes = 4 << 10;
constexpr std::size_t slow_read_bytes = 8U << 10U;
constexpr unsigned send_on_polls = 50;

/// Longest time in which a host responds: more than the time limit of the requests.
constexpr auto response_bound = 4000ms;
/// Longest time until a host that runs reads a request.
constexpr auto read_bound = 1000ms;

constexpr std::string_view post_body = "order with a body that follows its head";

std::optional<std::string> header_value(std::string_view head, std::string_view name)
{
    std::string lower(head);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    const std::size_t at = lower.find("\r\n" + std::string(name) + ":");
    if (at == std::string::npos) {
        return std::nullopt;
    }
    std::size_t begin = at + name.size() + 3;
    begin = std::min(lower.find_first_not_of(' ', begin), lower.size());
    return lower.substr(begin, lower.find("\r\n", begin) - begin);
}

} // namespace

open_caller::open_caller(std::string name, std::string address, invariant_checker& checker,
                         std::uint64_t seed)
    : m_name(std::move(name)), m_address(std::move(address)), m_checker(checker), m_random(seed),
      m_is_slow(seed % 4 == 0)
{}

open_caller::~open_caller()
{
    disconnect();
}

void open_caller::poll(const std::string& key)
{
    const base::time_point now = base::boot_clock::now();
    if (m_descriptor < 0) {
        if (now >= m_next_step) {
            connect();
        }
        return;
    }
    receive();
    if (m_descriptor < 0) {
        return;
    }
    if (!m_delayed_body.empty() && m_output.empty()) {
        m_output = std::exchange(m_delayed_body, {});
        m_sent.back().sent = now;
    }
    if (is_due(now)) {
        send_batch(key);
    }
    flush();
    if (m_descriptor >= 0 && !m_sent.empty() && now - m_sent.front().sent > response_bound) {
        m_checker.on_violation("answer: " + m_sent.front().id + " received no response within " +
                               std::to_string(response_bound.count()) + " ms");
        disconnect();
    }
}

void open_caller::disconnect()
{
    if (m_descriptor >= 0) {
        close(std::exchange(m_descriptor, -1));
    }
    m_output.clear();
    m_delayed_body.clear();
    m_input.clear();
    m_sent.clear();
    m_next_step = base::boot_clock::now() + reconnect_interval;
}

void open_caller::connect()
{
    auto address = http::parse_address(m_address);
    m_descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (m_is_slow) {
        setsockopt(m_descriptor, SOL_SOCKET, SO_RCVBUF, &small_buffer_bytes,
                   sizeof(small_buffer_bytes));
    }
    if (::connect(m_descriptor, address->get(), address->length) != 0 && errno != EINPROGRESS) {
        disconnect();
        return;
    }
    const int on = 1;
    setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

bool open_caller::is_due(base::time_point now)
{
    if (m_sent.empty()) {
        return now >= m_next_step;
    }
    return m_is_slow && m_sent.size() <= max_batch && m_delayed_body.empty() &&
           m_random() % send_on_polls == 0;
}

void open_caller::send_batch(const std::string& key)
{
    const std::size_t size = 1 + m_random() % max_batch;
    const bool ends_with_body = m_random() % 2 == 0;
    for (std::size_t i = 0; i < size; ++i) {
        const bool has_body = ends_with_body && i + 1 == size;
        const std::string id = m_name + (m_is_slow ? "-large" : "-") + std::to_string(++m_requests);
        m_output += std::string(has_body ? "POST /once/open" : "GET /safe/open") +
                    " HTTP/1.1\r\nhost: a.example\r\nx-attempt-id: " + id + "\r\nx-key: " + key +
                    "\r\nx-deadline-ms: 1500\r\n";
        if (has_body) {
            m_output += "content-length: " + std::to_string(post_body.size()) + "\r\n";
            m_delayed_body = post_body;
        }
        m_output += "\r\n";
        m_sent.push_back({id, has_body, base::boot_clock::now()});
    }
}

void open_caller::flush()
{
    if (m_output.empty()) {
        return;
    }
    const ssize_t written = send(m_descriptor, m_output.data(), m_output.size(), MSG_NOSIGNAL);
    if (written > 0) {
        m_output.erase(0, static_cast<std::size_t>(written));
    }
}

void open_caller::receive()
{
    std::array<char, 16384> buffer{};
    for (;;) {
        const ssize_t got =
            recv(m_descriptor, buffer.data(), m_is_slow ? slow_read_bytes : buffer.size(), 0);
        if (got > 0) {
            m_input.append(buffer.data(), static_cast<std::size_t>(got));
            while (take_response()) {
            }
            if (m_descriptor < 0 || m_is_slow) {
                return;
            }
            continue;
        }
        if (got < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        on_connection_end(got < 0);
        return;
    }
}

bool open_caller::take_response()
{
    const std::size_t head_size = m_input.find("\r\n\r\n");
    if (head_size == std::string::npos) {
        return false;
    }
    const std::string head = m_input.substr(0, head_size);
    const std::optional<std::string> length = header_value(head, "content-length");
    if (!head.starts_with("HTTP/1.1 ") || !length || m_sent.empty()) {
        m_checker.on_violation("answer: " + m_name + " received an unexpected response: " + head);
        disconnect();
        return false;
    }
    const std::size_t size = head_size + 4 + std::stoul(*length);
    if (m_input.size() < size) {
        return false;
    }
    const std::string body = m_input.substr(head_size + 4, size - head_size - 4);
    m_input.erase(0, size);
    on_response(std::stoi(head.substr(9, 3)), body, header_value(head, "connection") == "close");
    return m_descriptor >= 0;
}

void open_caller::on_response(int status, const std::string& body, bool closes)
{
    const sent_request request = m_sent.front();
    m_sent.pop_front();
    ++responses;
    m_checker.on_response(request.id, status, status != 200 || body == expected_body(request.id),
                          base::boot_clock::now());
    if (closes) {
        for (const sent_request& unread : m_sent) {
            if (m_checker.has_run(unread.id)) {
                m_checker.on_violation("answer: " + unread.id + " ran, but the response to " +
                                       request.id + " closed its connection");
            }
            m_checker.on_unread(unread.id);
        }
        disconnect();
        return;
    }
    if (m_sent.empty()) {
        m_next_step =
            base::boot_clock::now() + std::chrono::milliseconds(m_random() % max_pause_ms);
    }
}

void open_caller::on_connection_end(bool is_reset)
{
    // A request that arrives after the close is answered with a reset; the state of the socket
    // shows it even if the end of the stream was read first.
    tcp_info info{};
    socklen_t size = sizeof(info);
    getsockopt(m_descriptor, IPPROTO_TCP, TCP_INFO, &info, &size);
    if (!m_sent.empty()) {
        check_unanswered(is_reset || info.tcpi_state == TCP_CLOSE);
    }
    disconnect();
}

void open_caller::check_unanswered(bool is_reset)
{
    const sent_request& first = m_sent.front();
    const bool is_whole = m_output.empty() && (m_sent.size() > 1 || m_delayed_body.empty());
    const bool is_cut = !m_input.empty();
    const auto waited =
        std::chrono::duration_cast<std::chrono::milliseconds>(base::boot_clock::now() - first.sent);
    const bool is_read = is_cut || !is_reset || waited > read_bound || m_checker.has_run(first.id);
    if (is_whole && is_read && !m_checker.was_cut(first.id)) {
        m_checker.on_violation("answer: " + first.id + " received " +
                               (is_cut ? "an incomplete response" : "no response") +
                               ", its connection ended " + std::to_string(waited.count()) +
                               " ms after it was sent");
    }
    for (const sent_request& request : m_sent) {
        if (!is_cut || &request != &first) {
            m_checker.on_unread(request.id);
        }
    }
}

} // namespace snipeshore::soak
