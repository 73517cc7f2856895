/// @file Blocking HTTP requests for tests, on a loop that runs only during `send` and `run_until`.
#pragma once

#include "base/result.h"
#include "base/time.h"
#include "http/client.h"
#include "http/loop.h"
#include "http/types/message.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace snipeshore::test {

struct http_response {
    base::status outcome; ///< Ok only if the response is complete.
    int status = 0;       ///< 0 if no response head arrived.
    http::header_list headers;
    std::string body;
    bool request_sent = false;

    std::string header(std::string_view name) const;
};

struct http_request {
    std::string address;
    std::string method = "GET";
    std::string path = "/";
    std::string authority;
    http::header_list headers;
    std::string body;
    std::chrono::milliseconds timeout{20000};
};

/// GET request that carries the key as its bearer token.
http_request get_with_key(const std::string& path, const std::string& key);

/// One loop and one client. With `start` and `run_until`, several requests can be in progress.
class http_session {
public:
    using done_callback = std::function<void(const http_response&)>;

    http_session();
    ~http_session();
    http_session(const http_session&) = delete;
    http_session& operator=(const http_session&) = delete;
    http_session(http_session&&) = delete;
    http_session& operator=(http_session&&) = delete;

    /// Sends a request and waits for its end.
    http_response send(const http_request& request);

    /// Sends a request; `done` is called during `run_until`. Pass the returned number to `cancel`
    /// to cancel the request.
    std::uint64_t start(const http_request& request, done_callback done);
    void cancel(std::uint64_t number);

    /// Runs the loop until the condition holds; false at the deadline.
    bool run_until(const std::function<bool()>& condition, base::time_point deadline);

    http::loop& loop();

private:
    struct pending_call;

    http::loop m_loop;
    http::client m_client;
    std::map<std::uint64_t, std::shared_ptr<pending_call>> m_calls;
    std::uint64_t m_next_number = 1;
};

} // namespace snipeshore::test
