/// @file What a target's response says about the target.
#pragma once

#include "http/types/message.h"
#include "targets/types/report.h"

#include <chrono>
#include <optional>
#include <string_view>

namespace snipeshore::targets {

struct response_signals {
    bool is_shed = false;     ///< Refused for load; the target did not run the request.
    bool is_draining = false; ///< The target leaves; it must get no new work.
    std::optional<std::chrono::seconds> retry_after; ///< Empty if absent or given as a date.
};

/// A response is shed if it is 503 or 429 with Retry-After. A 503 without it may come from a
/// request that ran.
response_signals read_signals(const http::response_head& head);

/// State that a response of the health endpoint reports.
health_state read_health(const http::response_head& head, std::string_view body);

/// Figures of the load endpoint; empty if the body does not hold them or they cannot be true.
std::optional<load_report> read_load(const http::response_head& head, std::string_view body);

} // namespace snipeshore::targets
