/// @file Limit that a target names for the requests of all hosts together.
#pragma once

#include "base/time.h"

#include <cstddef>
#include <optional>

namespace snipeshore::limits {

/// One host's view of a target's limit, and its share of it.
struct target_limit {
    std::optional<double> rate;  ///< Requests per second; empty: the target names no limit.
    base::time_point named_at{}; ///< When it was last named, to this host or another one.
    double own_rate = 0;         ///< Share of this host.
    double tokens = 0;
    base::time_point refilled{};
};

/// Hosts that may send requests to a target with a limit.
struct limit_division {
    std::size_t near_owners = 0; ///< Of the hosts in the target's failure domain.
    double near_rate = 0;        ///< Requests per second of each of them.
    std::size_t other_owners = 0;
    double other_rate = 0;
};

} // namespace snipeshore::limits
