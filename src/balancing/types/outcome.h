/// @file How a request to a target ended.
#pragma once

#include <cstdint>

namespace snipeshore::balancing {

enum class outcome : std::uint8_t {
    success,
    failure,   ///< Connection or protocol failure, or the target's internal error.
    load_shed, ///< The target refused because it is overloaded.
    cancelled, ///< The caller gave up; says nothing about the target.
};

} // namespace snipeshore::balancing
