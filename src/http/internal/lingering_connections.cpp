#include "http/internal/lingering_connections.h"

#include "base/time.h"
#include "http/internal/loop_impl.h"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <utility>

namespace snipeshore::http {

namespace {

/// Limits the work per call, so that a caller that sends fast does not delay others.
constexpr int reads_per_call = 16;

constexpr std::size_t read_bytes = 16U << 10U;

} // namespace

discard_result discard_received(int descriptor)
{
    discard_result result;
    std::array<char, read_bytes> bytes; // NOLINT(cppcoreguidelines-pro-type-member-init)
    for (int i = 0; i < reads_per_call; ++i) {
        const ssize_t got = recv(descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT);
        if (got <= 0) {
            result.has_ended = got == 0 || (errno != EAGAIN && errno != EINTR);
            return result;
        }
        result.bytes += static_cast<std::size_t>(got);
    }
    return result;
}

lingering_connections::lingering_connections(loop& owner, lingering_limits limits,
                                             std::function<void()> on_closed)
    : m_owner(owner), m_limits(limits), m_on_closed(std::move(on_closed))
{}

lingering_connections::~lingering_connections()
{
    close_all();
}

void lingering_connections::add(int descriptor)
{
    shutdown(descriptor, SHUT_WR);
    auto added = std::make_unique<connection>();
    added->owner = this;
    added->id = ++m_last_id;
    added->socket =
        h2o_evloop_socket_create(m_owner.internals().evloop, descriptor, H2O_SOCKET_FLAG_DONT_READ);
    added->socket->data = added.get();
    added->deadline = m_owner.schedule(base::boot_clock::now() + m_limits.timeout,
                                       [this, id = added->id] { close(id); });
    h2o_socket_read_start(added->socket, on_readable);
    m_connections.emplace(added->id, std::move(added));
}

void lingering_connections::close_oldest()
{
    if (!m_connections.empty()) {
        close(m_connections.begin()->first);
    }
}

void lingering_connections::close_all()
{
    for (const auto& [id, one] : std::exchange(m_connections, {})) {
        release(*one);
    }
}

std::size_t lingering_connections::size() const
{
    return m_connections.size();
}

void lingering_connections::on_readable(h2o_socket_t* socket, const char* failure)
{
    auto& from = *static_cast<connection*>(socket->data);
    if (failure != nullptr) {
        from.owner->close(from.id);
        return;
    }
    from.owner->discard(from);
}

void lingering_connections::discard(connection& from)
{
    const discard_result discarded = discard_received(h2o_socket_get_fd(from.socket));
    from.discarded_bytes += discarded.bytes;
    if (discarded.has_ended || from.discarded_bytes > m_limits.max_discarded_bytes) {
        close(from.id);
    }
}

void lingering_connections::close(std::uint64_t id)
{
    auto closing = m_connections.extract(id);
    if (closing.empty()) {
        return;
    }
    release(*closing.mapped());
    m_on_closed();
}

void lingering_connections::release(connection& which) const
{
    m_owner.cancel(which.deadline);
    h2o_socket_close(which.socket);
}

} // namespace snipeshore::http
