/// @file Upper bounds for loads without a usable measurement.
#pragma once

#include "base/time.h"
#include "steering/types/inputs.h"
#include "steering/types/plan.h"
#include "steering/types/steering_state.h"

namespace snipeshore::steering {

/// Replaces missing and expired load measurements of regions and links by the highest possible
/// load: every other decider uses its whole share, and this one uses what its weights in force
/// assign. Without any value, refused traffic would never be admitted again.
void fill_missing_loads(const plan& plan, const steering_state& state, inputs& inputs,
                        base::time_point now);

} // namespace snipeshore::steering
