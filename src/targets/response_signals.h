/// @file Reads the state of a target from its responses.
#pragma once

#include "http/types/message.h"
#include "targets/types/report.h"

#include <chrono>
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

/// Returns the state that a response of the health endpoint reports.
health_state read_health(const http::response_head& head, std::string_view body);

/// Returns the load that a response of the load endpoint reports. Empty if values are missing or
/// invalid.
std::optional<load_report> read_load(const http::response_head& head, std::string_view body);

} // namespace snipeshore::targets
