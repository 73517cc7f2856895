/// @file Streams a target's response to the caller through a bounded buffer.
#pragma once

#include "retries/types/response_progress.h"

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

struct response_buffers;

/// Buffers the data that the caller's connection cannot accept yet. Pauses reading from the target
/// when the buffer exceeds the limit of `response_buffers`, until the caller has taken most of it.
/// Not thread-safe: used on the loop's thread only.
class response_stream : public std::enable_shared_from_this<response_stream> {
public:
    /// `buffers` has to outlive the stream.
    response_stream(std::shared_ptr<http::exchange> exchange, response_buffers& buffers);
    ~response_stream();
    response_stream(const response_stream&) = delete;
    response_stream& operator=(const response_stream&) = delete;
    response_stream(response_stream&&) = delete;
    response_stream& operator=(response_stream&&) = delete;

    void start(http::response_head head);
    /// Pauses `call`, which delivers the response, when the buffer exceeds its limit.
    void write(std::string_view chunk, http::client_call& call);
    /// Calls `on_sent` after the last chunk has been passed to the connection.
    void finish(std::function<void()> on_sent);
    void abort();
    /// Drops the reference to a paused call. Must be called before that call is destroyed.
    void detach_call();

    std::uint64_t bytes() const;
    const retries::reading_pauses& pauses() const;

private:
    void flush();
    void end_pause();

    std::shared_ptr<http::exchange> m_exchange;
    response_buffers& m_buffers;
    std::string m_buffer;
    std::size_t m_in_flight_bytes = 0; ///< Passed to the connection, which has not sent them yet.
    std::uint64_t m_bytes = 0;
    http::client_call* m_paused_call = nullptr;
    retries::reading_pauses m_pauses;
    std::function<void()> m_on_sent;
    bool m_write_in_flight = false;
    bool m_ended = false;
};

} // namespace snipeshore::apps
