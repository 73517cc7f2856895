/// @file Inputs of placing objects on targets.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <vector>

namespace snipeshore::affinity {

/// Where a target is and how much it can run at once.
struct placement_target {
    std::uint64_t hash = 0; ///< Of the target's id; the same on every host.
    std::uint32_t failure_domain = 0;
    std::uint32_t region = 0;
    std::uint32_t slots = 1;
};

/// Targets of one service with what follows from them alone.
struct layout {
    std::vector<placement_target> targets;
    std::vector<double> weights; ///< Of each place for objects that leave their region.
    /// Parts of the objects, 0 to 1, that the own failure domain and the own region can serve.
    double domain_fraction = 1;
    double region_fraction = 1;
    std::uint32_t own_domain = 0;
    std::uint32_t own_region = 0;
};

/// What a host knows of one target at this moment.
struct target_load {
    bool usable = true;
    double requests = 0; ///< Running and waiting there, of all hosts.
    std::uint32_t slots = 1;
    base::duration service_time{0}; ///< Typical time of one request without waiting.
};

/// Chosen target and when it would probably finish.
struct placement {
    std::uint32_t target = 0;
    std::uint32_t rank = 0;   ///< 0: the object's first target.
    base::duration wait{0};   ///< Predicted wait for a slot.
    base::duration finish{0}; ///< Predicted wait and service time.
};

} // namespace snipeshore::affinity
