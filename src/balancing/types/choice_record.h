/// @file Records why a target was chosen, for the state dump.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <string_view>

namespace snipeshore::balancing {

enum class choice_reason : std::uint8_t {
    lowest_cost,     ///< The target has the lowest cost.
    idle_connection, ///< Costs are equal; the target has an idle connection.
    reported_load,   ///< Costs are equal; the target reports the lowest load.
    hash,            ///< Everything else is equal; the hash decides.
    trial,           ///< The request tests an ejected target.
    no_target,       ///< No target can take the request.
};

struct choice_record {
    base::time_point at{};
    choice_reason reason = choice_reason::no_target;
    std::uint32_t target = 0;     ///< Index in `balancer_state::targets`.
    std::uint16_t considered = 0; ///< Targets of the subset that are not leaving.
    std::uint16_t at_limit = 0;   ///< Targets skipped because of their connection limit.
    std::uint16_t ejected = 0;
    float cost_ms = 0;
};

std::string_view to_string(choice_reason reason);

} // namespace snipeshore::balancing
