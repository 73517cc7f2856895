#include "http/internal/connection_state.h"
#include "http/internal/server_exchange.h"
#include "http/internal/server_impl.h"

#include "base/time.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

// How a server closes connections and ends its work.
namespace snipeshore::http {

namespace {

/// Time without requests after which a drain is complete: a request that a caller sent on an idle
/// connection before it was informed of the drain arrives within this time.
constexpr std::chrono::milliseconds drain_quiet_time{100};

} // namespace

server_connection::~server_connection()
{
    if (lingering_descriptor != -1) {
        close(lingering_descriptor);
    }
}

void server::impl::on_request_end(const h2o_req_t& request)
{
    if (request.version >= http_2_0 || request.http1_is_persistent != 0) {
        return;
    }
    if (request.conn->callbacks->get_socket(request.conn) == nullptr) {
        return; // The connection goes on as HTTP/2.
    }
    server_connection& connection = *connection_of(request);
    const auto running = connection.running.lock();
    // A request that h2o has rejected itself has no exchange.
    if (running == nullptr || !running->is_bound() || running->should_linger()) {
        linger_on_close(connection);
    }
}

void server::impl::linger_on_close(server_connection& connection)
{
    if (connection.lingering_descriptor != -1) {
        return;
    }
    connection.lingering_descriptor = fcntl(connection.descriptor, F_DUPFD_CLOEXEC, 0);
    if (connection.lingering_descriptor == -1) {
        // No descriptor is free. At least what has arrived must not reset the connection.
        discard_received(connection.descriptor);
    }
}

void server::impl::connection_closed(std::uint64_t id)
{
    const auto closed = connections.extract(id);
    if (!closed.empty()) {
        server_connection& connection = *closed.mapped();
        drop_pipelined(connection);
        if (connection.lingering_descriptor != -1 && !m_is_shut_down) {
            m_lingering->add(std::exchange(connection.lingering_descriptor, -1));
        }
    }
    accept_if_possible();
}

void server::impl::exchange_started(const std::shared_ptr<server_exchange>& exchange)
{
    exchanges.emplace(exchange.get(), exchange);
    if (m_idle_timer != 0) {
        owner.cancel(std::exchange(m_idle_timer, 0));
    }
}

void server::impl::exchange_ended(const server_exchange* exchange)
{
    exchanges.erase(exchange);
    check_idle();
}

void server::impl::drain(std::function<void()> on_idle)
{
    m_on_idle = std::move(on_idle);
    if (!m_is_draining) {
        m_is_draining = true;
        stop_listening();
        if (m_is_configured) {
            h2o_context_request_shutdown(&m_context);
        }
        for (const auto& [id, connection] : connections) {
            if (connection->is_http2) {
                linger_on_close(*connection);
            }
        }
    }
    check_idle();
}

void server::impl::stop_listening()
{
    if (m_listener == nullptr) {
        return;
    }
    // Connections in the listen backlog would be reset when the listener is closed.
    while (h2o_socket_t* socket = h2o_evloop_socket_accept(m_listener)) {
        accept_one(socket);
    }
    h2o_socket_close(std::exchange(m_listener, nullptr));
}

void server::impl::check_idle()
{
    if (!m_is_draining || !exchanges.empty() || lingering_count() != 0 || !m_on_idle ||
        m_idle_timer != 0) {
        return;
    }
    m_idle_timer = owner.schedule(base::boot_clock::now() + drain_quiet_time, [this] {
        m_idle_timer = 0;
        end_drain();
    });
}

void server::impl::end_drain()
{
    if (is_delivering()) {
        check_idle();
        return;
    }
    const auto callback = std::exchange(m_on_idle, nullptr);
    callback();
}

std::size_t server::impl::lingering_count() const
{
    return m_lingering.has_value() ? m_lingering->size() : 0;
}

bool server::impl::is_delivering() const
{
    return !exchanges.empty() || lingering_count() != 0 ||
           std::any_of(connections.begin(), connections.end(), [](const auto& entry) {
               return delivery_of(entry.second->descriptor) == delivery::pending;
           });
}

} // namespace snipeshore::http
