/// @file Seeded fault schedules for the model fleet.
#pragma once

#include "bench/models/share_fleet.h"

#include <cstdint>

namespace snipeshore::bench_models {

/// Runs one schedule of 25 s: demand far above the rate on all hosts; lost, late and
/// duplicated messages; partitions, pauses, restarts, replaced hosts, new layouts and limits.
outcome_counts run_fault_schedule(std::uint64_t seed);

} // namespace snipeshore::bench_models
