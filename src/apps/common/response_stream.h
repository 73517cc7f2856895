/// @file Streams a target's response to the caller through a bounded buffer.
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

/// Buffers the data that the caller's connection cannot accept yet. Pauses reading from the target
/// when the buffer exceeds `high_water_bytes`, until it falls below `low_water_bytes`.
/// Not thread-safe: used on the loop's thread only.
class response_stream : public std::enable_shared_from_this<response_stream> {
public:
    explicit response_stream(std::shared_ptr<http::exchange> exchange);

    void start(http::response_head head);
    /// Pauses `call`, which delivers the response, when the buffer exceeds `high_water_bytes`.
    void write(std::string_view chunk, http::client_call& call);
    /// Calls `on_sent` after the last chunk has been passed to the connection.
    void finish(std::function<void()> on_sent);
    void abort();
    /// Drops the reference to a paused call. Must be called before that call is destroyed.
    void detach_call();

    std::uint64_t bytes() const;

private:
    void flush();

    /// Buffer size above which the target is paused. Large enough to keep the caller's connection
    /// busy until the target is resumed.
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
