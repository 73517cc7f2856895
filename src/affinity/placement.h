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

/// Requests per slot, running and waiting, on the targets of the own failure domain and region.
struct home_load {
    double domain = 0;
    double region = 0;
};

/// Adapts the fractions of the objects that stay at home to the load there.
///
/// The load pattern that this answers: the callers of one failure domain or region send more than
/// its targets can serve while others have free slots, for example because callers have moved there
/// or in the busy hours of a region. Objects leave one after the other, always the same ones first,
/// so that each pays one slow first run elsewhere.
void adapt_home(home_share& home, const home_load& load, base::time_point now);

/// Returns the best targets for the object in order of preference, at most `max_ranked_targets`, as
/// indices into `layout::targets`. Only targets for which `allowed` returns true are ranked; it can
/// for example exclude targets outside the home regions of a route. A shared object uses one target
/// in the whole region, others one in the own failure domain.
std::vector<std::uint32_t> rank_targets(const layout& service_layout, std::uint64_t object,
                                        bool is_shared,
                                        const std::function<bool(std::uint32_t)>& allowed);

/// Returns the ranked target with the earliest predicted finish. Each rank after the first adds
/// `move_penalty` unless the target knows the object: a run there makes one more copy. Empty if
/// every target is unusable or full.
std::optional<placement> choose(std::span<const std::uint32_t> ranked,
                                const std::function<target_load(std::uint32_t)>& load_of,
                                base::duration move_penalty);

} // namespace snipeshore::affinity
