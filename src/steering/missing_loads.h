/// @file Upper bounds for loads that nobody measures.
#pragma once

#include "base/time.h"
#include "steering/types/inputs.h"
#include "steering/types/plan.h"
#include "steering/types/steering_state.h"

namespace snipeshore::steering {

/// Replaces missing and expired loads of regions and links by the most that they can be: every
/// other decider uses its whole part, and this one what its weights in force assign. Without any
/// value, traffic that was refused once would never be admitted again.
void fill_missing_loads(const plan& plan, const steering_state& state, inputs& inputs,
                        base::time_point now);

} // namespace snipeshore::steering
