#include "http/internal/early_exchange.h"

#include "base/time.h"
#include "http/loop.h"

namespace snipeshore::http {

early_exchange::early_exchange(loop& owner, request_head head, std::string peer_address)
    : m_owner(owner), m_head(std::move(head)), m_peer_address(std::move(peer_address))
{}

const request_head& early_exchange::head() const
{
    return m_head;
}

std::string_view early_exchange::body() const
{
    return {};
}

const std::string& early_exchange::peer_address() const
{
    return m_peer_address;
}

void early_exchange::respond(response_head head, std::string body)
{
    if (m_turn != nullptr) {
        m_turn->respond(std::move(head), std::move(body));
    } else if (!m_started.has_value()) {
        m_whole.emplace(std::move(head), std::move(body));
    }
}

void early_exchange::start_response(response_head head)
{
    if (m_turn != nullptr) {
        m_turn->start_response(std::move(head));
    } else if (!m_whole.has_value()) {
        m_started = std::move(head);
    }
}

void early_exchange::write(std::string piece)
{
    if (m_turn != nullptr) {
        m_turn->write(std::move(piece));
        return;
    }
    m_held += piece;
    if (m_held.size() <= max_held_bytes) {
        schedule_writable();
    }
}

void early_exchange::finish()
{
    if (m_turn != nullptr) {
        m_turn->finish();
    } else {
        m_is_finished = true;
    }
}

void early_exchange::abort()
{
    if (m_turn != nullptr) {
        m_turn->abort();
    } else {
        m_is_aborted = true;
    }
}

void early_exchange::on_writable(std::function<void()> callback)
{
    m_on_writable = std::move(callback);
}

void early_exchange::on_closed(std::function<void()> callback)
{
    m_on_closed = std::move(callback);
}

void early_exchange::attach(std::shared_ptr<exchange> turn)
{
    m_turn = std::move(turn);
    m_turn->on_writable([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->report_writable();
        }
    });
    // The turn keeps this exchange while its answer is not complete.
    m_turn->on_closed([self = shared_from_this()] { self->report_closed(); });
    replay();
}

void early_exchange::replay()
{
    if (m_whole.has_value()) {
        m_turn->respond(std::move(m_whole->first), std::move(m_whole->second));
        return;
    }
    if (m_started.has_value()) {
        m_turn->start_response(std::move(*m_started));
        if (!m_held.empty()) {
            m_turn->write(std::exchange(m_held, {}));
        }
    }
    if (m_is_aborted) {
        m_turn->abort();
    } else if (m_is_finished) {
        m_turn->finish();
    }
}

void early_exchange::close()
{
    m_is_closed = true;
    m_owner.schedule(base::boot_clock::now(),
                     [self = shared_from_this()] { self->report_closed(); });
}

void early_exchange::disown()
{
    m_on_writable = nullptr;
    m_on_closed = nullptr;
}

void early_exchange::schedule_writable()
{
    m_owner.schedule(base::boot_clock::now(), [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self != nullptr && !self->m_is_closed) {
            self->report_writable();
        }
    });
}

void early_exchange::report_writable()
{
    if (m_on_writable) {
        const auto callback = m_on_writable;
        callback();
    }
}

void early_exchange::report_closed()
{
    const auto callback = std::exchange(m_on_closed, nullptr);
    m_on_writable = nullptr;
    if (callback) {
        callback();
    }
}

} // namespace snipeshore::http
