/// @file Reads the state of a target from its responses.
#pragma once

#include "http/types/message.h"
#include "targets/types/report.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace snipeshore::targets {

struct response_signals {
    bool is_shed = false;     ///< Refused because of load; the request did not run.
    bool is_draining = false; ///< The target is draining; it must not get new requests.
    std::optional<std::chrono::seconds> retry_after; ///< Empty if absent or not in seconds.
};

/// Reads the signals of a response. A response with status 503 or 429 and a Retry-After header
/// counts as load shedding. A 503 without Retry-After does not, because the request may have run.
response_signals read_signals(const http::response_head& head);

/// Sent to targets with a new value for each attempt; targets echo it in all responses.
inline constexpr std::string_view attempt_id_header = "snipeshore-attempt-id";

/// Whether a response belongs to the attempt after which it arrived on the connection.
enum class response_origin : std::uint8_t {
    own,
    unknown, ///< The response has no id.
    other,   ///< The response has the id of another attempt: it is a late copy.
};

response_origin origin_of(const http::response_head& head, std::string_view attempt_id);

/// Returns the state that a response of the health endpoint reports.
health_state read_health(const http::response_head& head, std::string_view body);

/// Returns the load that a response of the load endpoint reports. Empty if values are missing or
/// invalid.
std::optional<load_report> read_load(const http::response_head& head, std::string_view body);

} // namespace snipeshore::targets
