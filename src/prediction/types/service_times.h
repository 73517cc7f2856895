/// @file Types for the prediction of service times.
#pragma once

#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace snipeshore::prediction {

/// How recently a target has run the object of a request. Targets are faster for objects that they
/// have run recently.
enum class recency : std::uint8_t {
    recent,  ///< A few requests of this host ago, or the request has no object.
    earlier, ///< The target may have dropped the object meanwhile.
    never,   ///< Not that this host knows; other hosts may have sent the object there.
};
inline constexpr std::size_t recency_count = 3;

/// The properties of a request that its service time depends on.
struct request_traits {
    std::uint64_t route = 0; ///< Hash of the route's name.
    std::uint64_t object = 0;
    bool has_object = false;
    base::duration objective{0}; ///< Latency objective of the route; 0: none.
};

struct estimate {
    base::duration mean{0};
    unsigned samples = 0;
};

/// Measured times of the requests of one service, without the wait for a slot.
struct service_times {
    std::unordered_map<std::uint64_t, std::array<estimate, recency_count>> by_route;
    estimate all; ///< Of all routes; the time that a waiting request takes on average.
};

/// What one host remembers of its requests to one target.
struct target_history {
    std::uint64_t runs = 0;
    std::unordered_map<std::uint64_t, std::uint64_t>
        last_runs;       ///< Number of each object's last run.
    double slowness = 1; ///< Measured time relative to the prediction from the service's times.
    base::time_point slowness_measured_at{};
};

/// A complete response.
struct time_sample {
    request_traits request;
    recency known = recency::never; ///< When the request was sent.
    base::duration predicted_wait{0};
    base::duration took{0};
    /// Whether the request had a slot at once, as far as this host knows.
    bool had_free_slot = true;
};

} // namespace snipeshore::prediction
