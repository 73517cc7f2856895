/// @file Places objects on targets by rendezvous hashing with bounded load, so that all hosts send
/// the requests for an object to the same few targets, and few objects move when targets change.
#pragma once

#include "affinity/types/placement.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace snipeshore::affinity {

/// Number of targets that an object may use. More would send its requests to more cold targets.
inline constexpr std::size_t max_ranked_targets = 4;

/// A target with this many requests per slot probably rejects further ones.
inline constexpr double max_requests_per_slot = 3.5;

/// Computes the layout of a service for hosts of `own_domain`. `domain_regions` holds the region of
/// each failure domain. All failure domains are assumed to have the same demand.
layout make_layout(std::vector<placement_target> targets,
                   std::span<const std::uint32_t> domain_regions, std::uint32_t own_domain);

/// Returns the best targets for the object in order of preference, at most `max_ranked_targets`, as
/// indices into `layout::targets`. Only targets for which `allowed` returns true are ranked; it can
/// for example exclude targets outside the home regions of a route.
std::vector<std::uint32_t> rank_targets(const layout& service_layout, std::uint64_t object,
                                        const std::function<bool(std::uint32_t)>& allowed);

/// Returns the ranked target with the earliest predicted finish. Each rank after the first adds
/// `move_penalty` unless the target knows the object: a run there makes one more copy. Empty if
/// every target is unusable or full.
std::optional<placement> choose(std::span<const std::uint32_t> ranked,
                                const std::function<target_load(std::uint32_t)>& load_of,
                                base::duration move_penalty);

} // namespace snipeshore::affinity
