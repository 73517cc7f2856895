/// @file State of a host's share of an account's limit.
#pragma once

#include "base/time.h"

#include <chrono>

namespace snipeshore::limits {

/// Granted tokens that are unused after this time are dropped, since the granting host has refilled
/// its own share meanwhile.
inline constexpr std::chrono::milliseconds token_grant_lifetime{1500};

/// Limit of an account over all hosts.
struct fleet_limit {
    double rate = 0;  ///< Requests per second; 0 means no limit.
    double burst = 0; ///< Requests.

    bool operator==(const fleet_limit&) const = default;
};

/// Number of requests by which any window may exceed rate and burst.
struct allowed_overrun {
    double fraction = 0;                    ///< Fraction of (rate * window + burst).
    double requests = 0;                    ///< Fixed number, added to the fraction.
    std::chrono::milliseconds window{1000}; ///< Window over which requests are counted.
};

struct fleet_share {
    bool is_limited = false;
    fleet_limit own; ///< Share of this host.
    double tokens = 0;
    double granted_tokens = 0;
    base::time_point grants_expire{};
    base::time_point refilled{};
    bool is_set = false;
    /// Moving average of the requests for a token per second.
    double demand = 0;
    base::time_point demand_updated{};
};

} // namespace snipeshore::limits
