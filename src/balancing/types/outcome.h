/// @file Outcome of a request to a target.
#pragma once

#include <cstdint>

namespace snipeshore::balancing {

enum class outcome : std::uint8_t {
    success,
    failure,   ///< Connection or protocol failure, or the target's internal error.
    load_shed, ///< The target refused the request because it is overloaded.
    cancelled, ///< Cancelled by the caller; not counted for the target.
};

} // namespace snipeshore::balancing
