/// @file Builds the heads of requests to targets and of responses to callers.
#pragma once

#include "base/time.h"
#include "base/types/ids.h"
#include "http/types/message.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace snipeshore::targets {

struct forward_context {
    base::account_id account; ///< Empty on routes that allow anonymous requests.
    std::string request_id;
    base::time_point deadline;
    base::time_point now;
    std::string traceparent; ///< For this attempt; empty: no trace header.
    std::string attempt_id;  ///< Echoed by the target; empty: not sent.
};

/// Builds the head of the request to the target. It never contains the caller's key or ticket,
/// hop-by-hop headers, or headers with the reserved prefix "snipeshore-" that the caller sent.
http::request_head make_forwarded_head(const http::request_head& request,
                                       const forward_context& context);

/// Builds the head of the response to the caller, without hop-by-hop headers and without headers
/// with the reserved prefix "snipeshore-" that the target sent.
http::response_head make_returned_head(const http::response_head& response);

/// Random bits for the traceparent of one attempt. `trace` is only used if the caller sent no valid
/// trace.
struct trace_random {
    std::array<std::uint64_t, 2> trace{};
    std::uint64_t span = 0;
};

/// Returns the W3C traceparent of an attempt. It continues the caller's trace if that is valid, and
/// starts a new trace otherwise.
std::string make_traceparent(std::optional<std::string_view> incoming, const trace_random& random);

} // namespace snipeshore::targets
