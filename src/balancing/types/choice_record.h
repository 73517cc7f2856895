/// @file Why a target was chosen, for the state dump.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <string_view>

namespace snipeshore::balancing {

enum class choice_reason : std::uint8_t {
    lowest_cost,     ///< Fewest own requests in flight and lowest observed latency.
    idle_connection, ///< Costs are equal; it has an idle connection.
    reported_load,   ///< Costs are equal; it reports the lowest load.
    hash,            ///< All else is equal.
    trial,           ///< One request to test an ejected target.
    no_target,       ///< None may take the request.
};

struct choice_record {
    base::time_point at{};
    choice_reason reason = choice_reason::no_target;
    std::uint32_t target = 0; ///< Index in the state.
    std::uint16_t considered = 0;
    std::uint16_t at_limit = 0; ///< Left out because of the connections limit.
    std::uint16_t ejected = 0;
    float cost_ms = 0;
};

std::string_view to_string(choice_reason reason);

} // namespace snipeshore::balancing
