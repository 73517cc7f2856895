/// @file One request of a caller and its answer, server side.
#pragma once

#include "http/types/message.h"

#include <functional>
#include <string>
#include <string_view>

namespace snipeshore::http {

/// Belongs to the loop's thread. Stays valid while a `shared_ptr` to it is held, also after the
/// caller has gone; calls have no effect then.
class exchange {
public:
    exchange() = default;
    virtual ~exchange() = default;
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;
    exchange(exchange&&) = delete;
    exchange& operator=(exchange&&) = delete;

    virtual const request_head& head() const = 0;
    virtual std::string_view body() const = 0;

    /// Address of the caller, "ip:port".
    virtual const std::string& peer_address() const = 0;

    /// Sends head and whole body.
    virtual void respond(response_head head, std::string body) = 0;

    /// Begins a streamed answer.
    virtual void start_response(response_head head) = 0;

    /// Sends a piece. At most one piece is in flight: the next may follow after `on_writable`.
    /// A response whose pieces do not add up to its content length is aborted.
    virtual void write(std::string piece) = 0;

    /// Ends a streamed answer as complete.
    virtual void finish() = 0;

    /// Breaks a streamed answer off, so that the caller sees that it is incomplete.
    virtual void abort() = 0;

    /// Called each time a piece was handed to the connection.
    virtual void on_writable(std::function<void()> callback) = 0;

    /// Called once when the caller has gone before the answer was complete.
    virtual void on_closed(std::function<void()> callback) = 0;
};

} // namespace snipeshore::http
