/// @file Chooses the targets that a round of probes connects to.
#pragma once

#include "base/time.h"
#include "base/types/ids.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace snipeshore::reachability {

struct probe_candidate {
    base::target_id target;
    base::service_id service;
    base::failure_domain_id failure_domain;
    base::time_point last_response{}; ///< Unset if it has not responded to this host.
};

/// Probes of a round. Several failure domains and services, so that the loss of one of them is not
/// taken for a cut of this host.
inline constexpr std::size_t probes_per_round = 4;

/// Positions in `candidates` of up to `count` targets. Half of them are those that responded last,
/// since most of the others may be down. The rest is chosen by `random` among the targets whose
/// failure domains and services have the fewest chosen ones, so that later rounds ask others.
std::vector<std::size_t> choose_probes(std::span<const probe_candidate> candidates,
                                       std::size_t count, std::uint64_t random);

} // namespace snipeshore::reachability
