/// @file Heads of requests to targets and of the responses returned to callers.
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
    base::account_id account; ///< Empty on routes that are open to all.
    std::string request_id;
    base::time_point deadline;
    base::time_point now;
    std::string traceparent; ///< Of this attempt; empty means none.
};

/// Head of the request to the target. Never contains the caller's key or ticket, hop-by-hop headers
/// or headers that the caller sent under the reserved prefix "snipeshore-".
http::request_head make_forwarded_head(const http::request_head& from,
                                       const forward_context& context);

/// Head of the response to the caller, without hop-by-hop headers and the target's markers.
http::response_head make_returned_head(const http::response_head& from);

/// Random bits for one attempt; the trace part is used only if the caller sent no trace.
struct trace_random {
    std::array<std::uint64_t, 2> trace{};
    std::uint64_t span = 0;
};

/// W3C traceparent of an attempt: continues the caller's trace if it is valid, else begins one.
std::string make_traceparent(std::optional<std::string_view> incoming, const trace_random& random);

} // namespace snipeshore::targets
