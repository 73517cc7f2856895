/// @file Reports of the health and load endpoints of a target.
#pragma once

#include "base/time.h"
#include "base/types/ids.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace snipeshore::targets {

enum class health_state : std::uint8_t {
    healthy,
    draining,    ///< The target announces that it is draining.
    unhealthy,   ///< The target responds, but not with a success status.
    unreachable, ///< No complete, valid response arrived in time.
};

/// Load as reported by the target; it may be outdated or wrong.
struct load_report {
    std::uint32_t slots = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
};

/// Result of one poll of one target.
struct poll_report {
    base::target_id target;
    health_state health = health_state::unreachable;
    std::optional<load_report> load; ///< Empty without a usable response.
    /// The reported state is not older than this, if the target reports it correctly.
    base::time_point sent_at;
    base::duration health_latency{0};
    std::string detail; ///< Error if the target is unreachable.
};

/// Target whose endpoints are polled.
struct polled_target {
    base::target_id target;
    std::string address; ///< "ip:port"
    std::string authority;
    std::string health_path = "/health";
    std::string load_path = "/load";
};

} // namespace snipeshore::targets
