/// @file State of a host's part of an account's limit.
#pragma once

#include "base/time.h"

#include <chrono>

namespace snipeshore::limits {

/// A gift that was not used by then is dropped, as its giver has refilled meanwhile.
inline constexpr std::chrono::milliseconds token_grant_lifetime{1500};

/// Of an account, over all hosts.
struct fleet_limit {
    double rate = 0;  ///< Requests per second; 0: no limit.
    double burst = 0; ///< Requests.

    bool operator==(const fleet_limit&) const = default;
};

/// By how much the requests of any window may exceed rate and burst.
struct allowed_overrun {
    double fraction = 0;                    ///< Of rate times window plus burst.
    double requests = 0;                    ///< Besides.
    std::chrono::milliseconds window{1000}; ///< In which requests are counted.
};

struct fleet_share {
    bool is_limited = false;
    fleet_limit own; ///< Part of this host.
    double tokens = 0;
    double granted_tokens = 0;
    base::time_point grants_expire{};
    base::time_point refilled{};
    bool is_set = false;
    /// Requests per second that asked for a token, as a moving average.
    double demand = 0;
    base::time_point demand_updated{};
};

} // namespace snipeshore::limits
