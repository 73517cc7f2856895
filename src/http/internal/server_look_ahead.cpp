#include "http/internal/early_exchange.h"
#include "http/internal/read_ahead.h"
#include "http/internal/server_exchange.h"
#include "http/internal/server_impl.h"

#include <sys/socket.h>

#include <algorithm>
#include <utility>
#include <vector>

// Requests that a caller sends behind the one that runs on its connection.
namespace snipeshore::http {

namespace {

/// Requests of one connection that run ahead of their turn.
constexpr std::size_t max_early = 16;

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

bool server::impl::looks_ahead() const
{
    return may_run_early && m_tls == nullptr;
}

void server::impl::look_ahead(server_connection& connection)
{
    const auto running = connection.running.lock();
    if (!looks_ahead() || m_is_draining || connection.has_hung_up || running == nullptr ||
        !running->is_bound() || running->head().method != "GET") {
        return;
    }
    read_more(connection);
    const h2o_buffer_t& input = *connection.socket->input;
    const std::vector<request_head> heads = read_ahead({input.bytes, input.size});
    // The first one runs.
    for (std::size_t i = 1 + connection.early.size();
         i < heads.size() && connection.early.size() < max_early; ++i) {
        if (!may_run_early(heads[i])) {
            return;
        }
        const auto early =
            std::make_shared<early_exchange>(owner, heads[i], running->peer_address());
        connection.early.push_back(early);
        handler(early);
    }
}

void server::impl::read_more(server_connection& connection)
{
    h2o_buffer_t& input = *connection.socket->input;
    if (input.bytes == nullptr) {
        return;
    }
    // The running request points into the buffer, which must not move.
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

std::shared_ptr<early_exchange> server::impl::take_early(server_connection& connection,
                                                         const request_head& head)
{
    if (connection.early.empty()) {
        return nullptr;
    }
    const auto early = connection.early.front();
    if (!is_same(early->head(), head)) {
        return nullptr;
    }
    connection.early.pop_front();
    return early;
}

void server::impl::drop_early(server_connection& connection)
{
    for (const auto& early : std::exchange(connection.early, {})) {
        early->close();
    }
}

} // namespace snipeshore::http
