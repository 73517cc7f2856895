#include "apps/common/response_stream.h"

#include "http/client.h"
#include "http/exchange.h"

#include <utility>

namespace snipeshore::apps {

response_stream::response_stream(std::shared_ptr<http::exchange> exchange)
    : m_exchange(std::move(exchange))
{}

void response_stream::start(http::response_head head)
{
    m_exchange->on_writable([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->m_write_in_flight = false;
            self->flush();
        }
    });
    m_exchange->start_response(std::move(head));
}

void response_stream::write(std::string_view chunk, http::client_call& call)
{
    m_bytes += chunk.size();
    m_buffer.append(chunk);
    flush();
    if (m_buffer.size() > high_water_bytes && m_paused_call == nullptr) {
        m_paused_call = &call;
        call.pause();
    }
}

void response_stream::finish(std::function<void()> on_sent)
{
    m_ended = true;
    m_paused_call = nullptr;
    m_on_sent = std::move(on_sent);
    flush();
}

void response_stream::abort()
{
    m_paused_call = nullptr;
    m_exchange->abort();
}

void response_stream::detach_call()
{
    m_paused_call = nullptr;
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
        m_exchange->write(std::exchange(m_buffer, {}));
    } else if (m_ended && m_on_sent != nullptr) {
        m_exchange->finish();
        const auto on_sent = std::exchange(m_on_sent, nullptr);
        on_sent();
        return;
    }
    if (m_paused_call != nullptr && m_buffer.size() < low_water_bytes) {
        std::exchange(m_paused_call, nullptr)->resume();
    }
}

} // namespace snipeshore::apps
