#include "http/internal/pipelined_exchange.h"

#include "base/time.h"
#include "http/internal/connection_state.h"
#include "http/loop.h"

namespace snipeshore::http {

pipelined_exchange::pipelined_exchange(loop& owner, request_head head, std::string peer_address,
                                       int descriptor)
    : m_owner(owner), m_head(std::move(head)), m_peer_address(std::move(peer_address)),
      m_descriptor(descriptor), m_received_at(last_bytes_received_at(descriptor))
{}

const request_head& pipelined_exchange::head() const
{
    return m_head;
}

std::string_view pipelined_exchange::body() const
{
    return {};
}

const std::string& pipelined_exchange::peer_address() const
{
    return m_peer_address;
}

base::time_point pipelined_exchange::received_at() const
{
    return m_received_at;
}

bool pipelined_exchange::is_caller_connected() const
{
    if (m_underlying != nullptr) {
        return m_underlying->is_caller_connected();
    }
    return !m_is_closed && is_peer_connected(m_descriptor);
}

void pipelined_exchange::respond(response_head head, std::string body)
{
    if (m_underlying != nullptr) {
        m_underlying->respond(std::move(head), std::move(body));
    } else if (!m_response_head.has_value()) {
        m_full_response.emplace(std::move(head), std::move(body));
    }
}

void pipelined_exchange::start_response(response_head head)
{
    if (m_underlying != nullptr) {
        m_underlying->start_response(std::move(head));
    } else if (!m_full_response.has_value()) {
        m_response_head = std::move(head);
    }
}

void pipelined_exchange::write(std::string chunk)
{
    if (m_underlying != nullptr) {
        m_underlying->write(std::move(chunk));
        return;
    }
    m_buffered_body += chunk;
    if (m_buffered_body.size() <= max_buffered_bytes) {
        schedule_writable();
    }
}

void pipelined_exchange::finish()
{
    if (m_underlying != nullptr) {
        m_underlying->finish();
    } else {
        m_is_finished = true;
    }
}

void pipelined_exchange::abort()
{
    if (m_underlying != nullptr) {
        m_underlying->abort();
    } else {
        m_is_aborted = true;
    }
}

void pipelined_exchange::on_writable(std::function<void()> callback)
{
    m_on_writable = std::move(callback);
}

void pipelined_exchange::on_closed(std::function<void()> callback)
{
    m_on_closed = std::move(callback);
}

void pipelined_exchange::attach(std::shared_ptr<exchange> underlying)
{
    m_underlying = std::move(underlying);
    m_underlying->on_writable([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->report_writable();
        }
    });
    // Keeps this object alive until the response is complete.
    m_underlying->on_closed([self = shared_from_this()] { self->report_closed(); });
    replay();
}

void pipelined_exchange::replay()
{
    if (m_full_response.has_value()) {
        m_underlying->respond(std::move(m_full_response->first),
                              std::move(m_full_response->second));
        return;
    }
    if (m_response_head.has_value()) {
        m_underlying->start_response(std::move(*m_response_head));
        if (!m_buffered_body.empty()) {
            m_underlying->write(std::exchange(m_buffered_body, {}));
        }
    }
    if (m_is_aborted) {
        m_underlying->abort();
    } else if (m_is_finished) {
        m_underlying->finish();
    }
}

void pipelined_exchange::close()
{
    m_is_closed = true;
    m_owner.schedule(base::boot_clock::now(),
                     [self = shared_from_this()] { self->report_closed(); });
}

void pipelined_exchange::clear_callbacks()
{
    m_on_writable = nullptr;
    m_on_closed = nullptr;
}

void pipelined_exchange::schedule_writable()
{
    m_owner.schedule(base::boot_clock::now(), [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self != nullptr && !self->m_is_closed) {
            self->report_writable();
        }
    });
}

void pipelined_exchange::report_writable()
{
    if (m_on_writable) {
        const auto callback = m_on_writable;
        callback();
    }
}

void pipelined_exchange::report_closed()
{
    const auto callback = std::exchange(m_on_closed, nullptr);
    m_on_writable = nullptr;
    if (callback) {
        callback();
    }
}

} // namespace snipeshore::http
