#include "http/tests/late_target.h"

#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace snipeshore::http::tests {

const std::string status_and_id = "HTTP/1.1 200 OK\r\nx-attempt-id: id-1\r\nx-response-seal: s\r\n";
const std::string with_length = status_and_id + "content-length: 12\r\n\r\n";
const std::string with_chunks = status_and_id + "transfer-encoding: chunked\r\n\r\n";
const std::string until_close = status_and_id + "connection: close\r\n\r\n";

const late_response drip{status_and_id + "content-length: 100000\r\n\r\n", "x", 50'000};
const late_response flood{status_and_id + "content-length: 1000000000\r\n\r\n",
                          std::string(64U << 10U, 'x')};

late_target::late_target(late_response response)
    : m_response(std::move(response)), m_server([this](int connection) { serve(connection); })
{}

std::string late_target::address() const
{
    return m_server.address();
}

void late_target::serve(int connection)
{
    for (;;) {
        const std::string request = read_until(connection, "\r\n\r\n");
        if (request.empty()) {
            return;
        }
        const bool is_ok = request.find("/ok HTTP") != std::string::npos;
        if (!is_ok && late_requests < max_late_requests) {
            ++late_requests;
            respond_late(connection);
            return;
        }
        ++ok_requests;
        write_all(connection, ok_response);
    }
}

void late_target::respond_late(int connection) const
{
    write_all(connection, m_response.first_bytes);
    if (m_response.repeated.empty()) {
        read_all(connection);
        return;
    }
    while (send(connection, m_response.repeated.data(), m_response.repeated.size(), MSG_NOSIGNAL) >
           0) {
        usleep(m_response.pause_us);
    }
}

} // namespace snipeshore::http::tests
