/// @file Measurements and orders that a steering decision uses.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

namespace snipeshore::steering {

/// A measured value and when it was taken, on this host's clock. A value that is not finite, is
/// negative or lies in the future counts as missing.
struct measurement {
    double value = std::numeric_limits<double>::quiet_NaN();
    base::time_point taken{};
};

enum class domain_health : std::uint8_t { unknown, healthy, lost };

struct health_measurement {
    domain_health health = domain_health::unknown;
    base::time_point taken{};
    /// Since when it is healthy, if known; a decider that starts gives a failure domain that is
    /// still warming up no traffic at once.
    std::optional<base::time_point> healthy_since;
};

/// A failure domain that is to be empty at `empty_by`.
struct planned_drain {
    std::uint16_t domain = 0;
    base::time_point empty_by{};
};

/// Mean sizes of one request of a service, for the load on links.
struct request_size {
    double bits_to_target = 8.0 * 2048;
    double bits_from_target = 8.0 * 16384;
};

/// Vectors are indexed as in the plan; one that is too short counts as missing measurements.
struct inputs {
    /// Requests per second of the callers that this decider steers, refused ones included, per row.
    std::vector<double> demand;
    base::time_point demand_taken{};
    std::vector<measurement> region_load;          ///< Requests per second of the whole region.
    std::vector<measurement> link_bits;            ///< Bits per second of the whole link.
    std::vector<health_measurement> domain_health; ///< Per failure domain.
    std::vector<planned_drain> drains;
    std::vector<request_size> request_sizes; ///< Per service; defaults apply if it is empty.
};

} // namespace snipeshore::steering
