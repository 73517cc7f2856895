/// @file Passes a target's response on to the caller with bounded memory.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace snipeshore::http {
class client_call;
class exchange;
struct response_head;
} // namespace snipeshore::http

namespace snipeshore::apps {

/// Buffers what the caller's connection cannot take yet and pauses the target above a limit.
/// Belongs to the loop's thread.
class response_stream : public std::enable_shared_from_this<response_stream> {
public:
    explicit response_stream(std::shared_ptr<http::exchange> exchange);

    void start(http::response_head head);
    /// `call` is paused while the buffer is above the limit.
    void write(std::string_view chunk, http::client_call& call);
    /// `on_sent` is called when the last chunk was handed to the connection.
    void finish(std::function<void()> on_sent);
    void abort();
    /// The call that `write` paused is about to be destroyed.
    void detach_call();

    std::uint64_t bytes() const;

private:
    void flush();

    /// Above this the target is paused: enough to keep a caller's connection busy meanwhile.
    static constexpr std::size_t high_water_bytes = 256U << 10U;
    static constexpr std::size_t low_water_bytes = 64U << 10U;

    std::shared_ptr<http::exchange> m_exchange;
    std::string m_buffer;
    std::uint64_t m_bytes = 0;
    http::client_call* m_paused_call = nullptr;
    std::function<void()> m_on_sent;
    bool m_write_in_flight = false;
    bool m_ended = false;
};

} // namespace snipeshore::apps
