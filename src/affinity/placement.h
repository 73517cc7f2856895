/// @file Places objects on targets by rendezvous hashing with bounded load, so that all hosts send
/// an object's requests to the same few targets and little moves when targets come and go.
#pragma once

#include "affinity/types/placement.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace snipeshore::affinity {

/// Targets that an object may use, in order. More would spread it over more cold targets.
inline constexpr std::size_t max_ranked_targets = 4;

/// Requests for each slot beyond which a target probably rejects further ones.
inline constexpr double max_requests_per_slot = 3.5;

/// Prepares the layout of a service for hosts of `own_domain`. `domain_regions` holds the region of
/// each failure domain; every domain is taken to have the same demand.
layout make_layout(std::vector<placement_target> targets,
                   std::span<const std::uint32_t> domain_regions, std::uint32_t own_domain);

/// The first targets of the object, at most `max_ranked_targets`, as indexes into `targets`.
/// `allowed` excludes targets, such as those outside the homes of a route.
std::vector<std::uint32_t> rank_targets(const layout& of_service, std::uint64_t object,
                                        const std::function<bool(std::uint32_t)>& allowed);

/// The ranked target with the earliest predicted finish. A later rank costs `move_penalty` more for
/// each step, as the object is probably not known there. Empty if no target is usable and not full.
std::optional<placement> choose(std::span<const std::uint32_t> ranked,
                                const std::function<target_load(std::uint32_t)>& load_of,
                                base::duration move_penalty);

} // namespace snipeshore::affinity
