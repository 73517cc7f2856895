#include "http/internal/pipelined_exchange.h"
#include "http/internal/pipelined_requests.h"
#include "http/internal/server_exchange.h"
#include "http/internal/server_impl.h"

#include <sys/socket.h>

#include <algorithm>
#include <utility>
#include <vector>

// Handling of requests that a caller pipelines after the one in progress on its connection.
namespace snipeshore::http {

namespace {

/// Limit of pipelined requests of one connection that are handled at the same time.
constexpr std::size_t max_pipelined = 16;

bool is_same(const request_head& left, const request_head& right)
{
    return left.method == right.method && left.path == right.path &&
           left.authority == right.authority &&
           std::equal(left.headers.begin(), left.headers.end(), right.headers.begin(),
                      right.headers.end(), [](const header& one, const header& other) {
                          return one.name == other.name && one.value == other.value;
                      });
}

} // namespace

bool server::impl::is_pipelining_enabled() const
{
    return may_pipeline && m_tls == nullptr;
}

void server::impl::start_pipelined_requests(server_connection& connection)
{
    const auto running = connection.running.lock();
    if (!is_pipelining_enabled() || m_is_draining || connection.has_caller_disconnected ||
        running == nullptr || !running->is_bound() || running->head().method != "GET") {
        return;
    }
    read_more(connection);
    const h2o_buffer_t& input = *connection.socket->input;
    const std::vector<request_head> heads = parse_pipelined_requests({input.bytes, input.size});
    // The first request is the one in progress.
    for (std::size_t i = 1 + connection.pipelined.size();
         i < heads.size() && connection.pipelined.size() < max_pipelined; ++i) {
        if (!may_pipeline(heads[i])) {
            return;
        }
        const auto pipelined = std::make_shared<pipelined_exchange>(
            owner, heads[i], running->peer_address(), connection.descriptor);
        connection.pipelined.push_back(pipelined);
        handler(pipelined);
    }
}

void server::impl::read_more(server_connection& connection)
{
    h2o_buffer_t& input = *connection.socket->input;
    if (input.bytes == nullptr) {
        return;
    }
    // The request in progress points into the buffer, so the buffer must not be reallocated.
    const std::size_t used = static_cast<std::size_t>(input.bytes - input._buf) + input.size;
    if (used >= input.capacity) {
        return;
    }
    const ssize_t got =
        recv(connection.descriptor, input.bytes + input.size, input.capacity - used, MSG_DONTWAIT);
    if (got > 0) {
        input.size += static_cast<std::size_t>(got);
    }
}

std::shared_ptr<pipelined_exchange> server::impl::take_pipelined(server_connection& connection,
                                                                 const request_head& head)
{
    if (connection.pipelined.empty()) {
        return nullptr;
    }
    const auto pipelined = connection.pipelined.front();
    if (!is_same(pipelined->head(), head)) {
        return nullptr;
    }
    connection.pipelined.pop_front();
    return pipelined;
}

void server::impl::drop_pipelined(server_connection& connection)
{
    for (const auto& pipelined : std::exchange(connection.pipelined, {})) {
        pipelined->close();
    }
}

} // namespace snipeshore::http
