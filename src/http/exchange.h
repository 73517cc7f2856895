/// @file Server side of an HTTP request and its response.
#pragma once

#include "base/time.h"
#include "http/types/message.h"

#include <functional>
#include <string>
#include <string_view>

namespace snipeshore::http {

/// Must be used on the loop's thread only. Stays valid while a `shared_ptr` to it is held, even
/// after the caller has disconnected; its functions have no effect then.
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

    /// When the first bytes of the request arrived, as far as it is known. Bytes that waited for a
    /// busy loop count from the arrival of the last of them.
    virtual base::time_point received_at() const = 0;

    /// Whether the caller has not closed its end of the connection. Asks the kernel, because a busy
    /// loop comes to the event of the close later than to the request.
    virtual bool is_caller_connected() const = 0;

    /// Sends the head and the complete body.
    virtual void respond(response_head head, std::string body) = 0;

    /// Starts a streamed response.
    virtual void start_response(response_head head) = 0;

    /// Sends a chunk of the body. At most one chunk is in flight: write the next one after
    /// `on_writable`. A response whose chunks do not add up to its content length is aborted.
    virtual void write(std::string chunk) = 0;

    /// Ends a streamed response as complete.
    virtual void finish() = 0;

    /// Aborts a streamed response, so that the caller sees that it is incomplete.
    virtual void abort() = 0;

    /// Sets a callback that is invoked each time a chunk was passed to the connection.
    virtual void on_writable(std::function<void()> callback) = 0;

    /// Sets a callback that is invoked once if the caller disconnects before the response is
    /// complete.
    virtual void on_closed(std::function<void()> callback) = 0;
};

} // namespace snipeshore::http
