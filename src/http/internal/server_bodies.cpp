#include "http/internal/server_exchange.h"
#include "http/internal/server_impl.h"

#include <sys/socket.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

// Refuses HTTP/1.1 requests whose bodies are not complete at their deadline. h2o passes a request
// to its handler only when it is complete, but lists those that are not.
namespace snipeshore::http {

namespace {

struct late_request {
    server_connection* connection = nullptr;
    request_head head;
};

struct body_search {
    const body_limit& limit;
    base::time_point now;
    std::vector<late_request> late;
    base::time_point next_deadline = base::time_point::max(); ///< Of those that are not late.
};

bool is_body_incomplete(const h2o_req_t& request)
{
    const bool has_body = request.timestamps.request_body_begin_at.tv_sec != 0;
    const bool is_answered = request.res.status != 0; // By h2o itself, such as with 413.
    if (!has_body || is_answered || request.conn->callbacks->get_socket(request.conn) == nullptr) {
        return false;
    }
    const auto running = connection_of(request)->running.lock();
    return running == nullptr || !running->is_bound();
}

int visit_request(h2o_req_t* request, void* data)
{
    if (!is_body_incomplete(*request)) {
        return 0;
    }
    auto& search = *static_cast<body_search*>(data);
    server_connection& connection = *connection_of(*request);
    if (!connection.body_deadline.has_value()) {
        connection.body_deadline = search.limit.deadline(read_head(*request), arrival_of(*request));
    }
    if (search.now >= *connection.body_deadline) {
        search.late.push_back({&connection, read_head(*request)});
    } else {
        search.next_deadline = std::min(search.next_deadline, *connection.body_deadline);
    }
    return 0;
}

std::string encode(const response_head& head, const std::string& body)
{
    std::string text = "HTTP/1.1 " + std::to_string(head.status) + " Request Timeout\r\n";
    for (const header& one : head.headers) {
        text.append(one.name).append(": ").append(one.value).append("\r\n");
    }
    return text + "connection: close\r\ncontent-length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

} // namespace

bool server::impl::is_limiting_bodies() const
{
    return bodies.deadline != nullptr && m_tls == nullptr;
}

void server::impl::schedule_body_check(base::time_point time)
{
    if (!is_limiting_bodies() || m_is_shut_down) {
        return;
    }
    if (m_body_timer != 0) {
        if (m_body_check_at <= time) {
            return;
        }
        owner.cancel(m_body_timer);
    }
    m_body_check_at = time;
    m_body_timer = owner.schedule(time, [this] {
        m_body_timer = 0;
        check_bodies();
    });
}

void server::impl::check_bodies()
{
    body_search search{bodies, base::boot_clock::now(), {}};
    m_config.http1.callbacks.foreach_request(&m_context, visit_request, &search);
    if (search.next_deadline != base::time_point::max()) {
        schedule_body_check(search.next_deadline);
    }
    for (const late_request& one : search.late) {
        refuse_unfinished(*one.connection, one.head);
    }
}

void server::impl::refuse_unfinished(server_connection& connection, const request_head& head)
{
    h2o_socket_t* socket = connection.socket;
    const h2o_socket_cb reader = socket->_cb.read;
    if (reader == nullptr) {
        // h2o is writing "100 Continue" and cannot end the request now.
        schedule_body_check(base::boot_clock::now() + body_check_delay);
        return;
    }
    const auto [response, body] = bodies.refuse(head);
    const std::string text = encode(response, body);
    // h2o has sent nothing for this request, and the responses before it are in the kernel.
    send(connection.descriptor, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    linger_on_close(connection);
    // h2o closes the connection as if the caller had, so the request can never become complete.
    reader(socket, h2o_socket_error_closed);
}

} // namespace snipeshore::http
