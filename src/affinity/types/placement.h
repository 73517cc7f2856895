/// @file Types for the placement of objects on targets.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <vector>

namespace snipeshore::affinity {

/// Location and capacity of a target.
struct placement_target {
    std::uint64_t hash = 0; ///< Hash of the target's id; the same on every host.
    std::uint32_t failure_domain = 0;
    std::uint32_t region = 0;
    std::uint32_t slots = 1; ///< Requests that the target runs concurrently.
};

/// Factors on the fractions of the objects that stay in the own failure domain and region, 0 to 1.
/// They follow the load there.
struct home_share {
    double domain = 1;
    double region = 1;
    base::time_point adapted_at{};
};

/// Targets of one service and values derived from them.
struct layout {
    std::vector<placement_target> targets;
    std::vector<double> weights; ///< Weight of each target for objects that leave their region.
    /// Fractions of the objects, 0 to 1, that the own failure domain and the own region can serve.
    double domain_fraction = 1;
    double region_fraction = 1;
    home_share home;
    std::uint32_t own_domain = 0;
    std::uint32_t own_region = 0;
};

/// Current load of a target as far as this host knows.
struct target_load {
    bool usable = true;
    double requests = 0; ///< Running and waiting requests of all hosts.
    std::uint32_t slots = 1;
    base::duration service_time{0}; ///< Expected time of the request without waiting.
    base::duration queue_time{0};   ///< Average time of the requests that are ahead of it.
    bool knows_object = false;      ///< Whether the target has run the object before.
};

/// Chosen target and the predicted time of the request there.
struct placement {
    std::uint32_t target = 0;
    std::uint32_t rank = 0;   ///< Position among the object's usable targets; 0 is the first.
    base::duration wait{0};   ///< Predicted wait for a slot.
    base::duration finish{0}; ///< Predicted wait plus service time.
};

} // namespace snipeshore::affinity
