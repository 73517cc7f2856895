/// @file Measurements and planned drains that a steering decision uses.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

namespace snipeshore::steering {

/// A measured value and the time at which it was taken, on this host's clock. A value that is not
/// finite, is negative or was taken in the future counts as missing.
struct measurement {
    double value = std::numeric_limits<double>::quiet_NaN();
    base::time_point taken{};
};

enum class domain_health : std::uint8_t { unknown, healthy, lost };

struct health_measurement {
    domain_health health = domain_health::unknown;
    base::time_point taken{};
    /// Start of the current healthy period, if known. A decider without previous weights refuses
    /// the traffic of a failure domain that is still warming up and then admits it gradually.
    std::optional<base::time_point> healthy_since;
};

/// A failure domain that must carry no traffic from `empty_by` on.
struct planned_drain {
    std::uint16_t domain = 0;
    base::time_point empty_by{};
};

/// Mean sizes of one request of a service and its response; gives the load on links.
struct request_size {
    double bits_to_target = 8.0 * 2048;
    double bits_from_target = 8.0 * 16384;
};

/// Vectors are indexed as in the plan. Entries beyond the end of a vector count as missing
/// measurements.
struct inputs {
    /// Per row: requests per second of the callers that this decider steers, including refused
    /// ones.
    std::vector<double> demand;
    base::time_point demand_taken{};
    std::vector<measurement> region_load; ///< Per region: requests per second from all callers.
    std::vector<measurement> link_bits;   ///< Per link: bits per second of all traffic.
    std::vector<health_measurement> domain_health; ///< Per failure domain.
    std::vector<planned_drain> drains;
    std::vector<request_size> request_sizes; ///< Per service; missing entries use the defaults.
};

} // namespace snipeshore::steering
