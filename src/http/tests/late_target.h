/// @file Test target whose responses begin in time and are not complete in time.
#pragma once

#include "http/tests/test_support.h"

#include <atomic>
#include <string>

namespace snipeshore::http::tests {

extern const std::string status_and_id; ///< Of a response to the request "id-1".
extern const std::string with_length;   ///< Head of a response with 12 bytes.
extern const std::string with_chunks;
extern const std::string until_close;

/// How a target responds to the requests whose paths do not end in "/ok".
struct late_response {
    std::string first_bytes; ///< Sent at once.
    std::string repeated{};  ///< Sent again and again behind them; empty: the target is silent.
    unsigned pause_us = 0;   ///< Between the repetitions.
};

extern const late_response drip;
/// Sends as fast as its caller reads.
extern const late_response flood;

class late_target {
public:
    explicit late_target(late_response response);

    std::string address() const;

    std::string ok_response = with_length + "whole answer"; ///< Set before the first request.
    std::atomic<int> ok_requests{0};
    std::atomic<int> late_requests{0};
    std::atomic<int> max_late_requests{1000}; ///< Further ones get `ok_response`.

private:
    void serve(int connection);
    void respond_late(int connection) const;

    late_response m_response;
    parallel_raw_server m_server;
};

} // namespace snipeshore::http::tests
