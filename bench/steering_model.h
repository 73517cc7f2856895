/// @file Load model of a fleet of deciders under a seeded schedule of faults.
#pragma once

#include "config/types/document.h"
#include "steering/decide.h"

#include <cstddef>
#include <cstdint>

namespace snipeshore::bench {

/// Document with regions of equal capacity, linked with each other. The sites are spread over
/// the failure domains, and the calling code sets the demand.
struct fleet_shape {
    std::size_t regions = 3;
    std::size_t domains_per_region = 2;
    std::size_t hosts_per_domain = 2;
    std::size_t sites = 6;
    std::size_t services = 2;
    double region_capacity = 6000;
    std::uint64_t link_bits = 4'000'000'000ULL;
};

config::document make_document(const fleet_shape& shape);

enum class shift_method : std::uint8_t {
    decider,     ///< `steering::decide`
    all_at_once, ///< Shifts every site at once to the first healthy failure domain in its order.
};

struct schedule_result {
    std::uint64_t decisions = 0;
    std::uint64_t shift_cap_violations = 0;
    std::uint64_t region_overload_violations = 0;
    std::uint64_t link_violations = 0;
    double worst_true_load = 0; ///< Greatest load of a region as a fraction of its full capacity.
    double refused_fraction = 0;
};

/// Runs one seeded schedule of `seconds` with many deciders, each with its own delayed view.
/// Faults: measurements that stop, arrive late or are wrong, partitions, paused agents, restarted
/// agents (weights in force are known), replaced hosts (nothing is known), failed failure domains
/// and regions, planned drains and surges of demand. The sums over all deciders are checked, from
/// the weights and demand alone:
/// - traffic that moved in any interval against the cap on the fleet's traffic;
/// - load assigned to regions and failure domains against the usable capacity;
/// - load assigned to links against the usable capacity.
schedule_result run_schedule(std::uint64_t seed, int seconds, shift_method method);

} // namespace snipeshore::bench
