/// @file What the health and load endpoints of a target say.
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
    draining,    ///< The target announces that it leaves.
    unhealthy,   ///< The target answers, but not with success.
    unreachable, ///< No complete answer came in time.
};

/// Load as the target claims it; it may be late or wrong.
struct load_report {
    std::uint32_t slots = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
};

/// Result of one poll of one target.
struct poll_report {
    base::target_id target;
    health_state health = health_state::unreachable;
    std::optional<load_report> load; ///< Empty if the endpoint gave no usable answer.
    base::time_point sent_at;        ///< The state is not older than this, if the target is honest.
    base::duration health_latency{0};
    std::string detail; ///< Cause, if the target is unreachable.
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
