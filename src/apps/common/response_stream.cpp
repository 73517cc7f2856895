#include "apps/common/response_stream.h"

#include "apps/common/response_buffers.h"
#include "http/client.h"
#include "http/exchange.h"

#include <utility>

namespace snipeshore::apps {

namespace {

/// A paused target is resumed when the buffer has fallen to this part of its limit.
constexpr std::size_t resume_parts = 4;

} // namespace

response_stream::response_stream(std::shared_ptr<http::exchange> exchange,
                                 response_buffers& buffers)
    : m_exchange(std::move(exchange)), m_buffers(buffers)
{}

response_stream::~response_stream()
{
    m_buffers.used -= m_buffer.size() + m_in_flight_bytes;
}

void response_stream::start(http::response_head head)
{
    m_exchange->on_writable([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->m_write_in_flight = false;
            self->m_buffers.used -= std::exchange(self->m_in_flight_bytes, 0);
            self->flush();
        }
    });
    m_exchange->start_response(std::move(head));
}

void response_stream::write(std::string_view chunk, http::client_call& call)
{
    m_bytes += chunk.size();
    m_buffer.append(chunk);
    m_buffers.used += chunk.size();
    flush();
    if (m_buffer.size() > limit_per_response(m_buffers) && m_paused_call == nullptr) {
        m_paused_call = &call;
        m_pauses.is_paused = true;
        m_pauses.was_paused = true;
        call.pause();
    }
}

void response_stream::finish(std::function<void()> on_sent)
{
    m_ended = true;
    detach_call();
    m_on_sent = std::move(on_sent);
    flush();
}

void response_stream::abort()
{
    detach_call();
    m_exchange->abort();
}

void response_stream::detach_call()
{
    m_paused_call = nullptr;
    end_pause();
}

void response_stream::end_pause()
{
    if (std::exchange(m_pauses.is_paused, false)) {
        m_pauses.resumed_at = base::boot_clock::now();
    }
}

const retries::reading_pauses& response_stream::pauses() const
{
    return m_pauses;
}

std::uint64_t response_stream::bytes() const
{
    return m_bytes;
}

void response_stream::flush()
{
    if (m_write_in_flight) {
        return;
    }
    if (!m_buffer.empty()) {
        m_write_in_flight = true;
        m_in_flight_bytes = m_buffer.size();
        m_exchange->write(std::exchange(m_buffer, {}));
    } else if (m_ended && m_on_sent != nullptr) {
        m_exchange->finish();
        const auto on_sent = std::exchange(m_on_sent, nullptr);
        on_sent();
        return;
    }
    if (m_paused_call != nullptr &&
        m_buffer.size() <= limit_per_response(m_buffers) / resume_parts) {
        end_pause();
        std::exchange(m_paused_call, nullptr)->resume();
    }
}

} // namespace snipeshore::apps
