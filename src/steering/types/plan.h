/// @file What steering derives from the document. Other structs refer to its entries by index.
#pragma once

#include "base/types/ids.h"
#include "config/types/document.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace snipeshore::steering {

struct plan_region {
    base::region_id id;
    double capacity = 0; ///< Requests per second.
    double usable = 0;   ///< Capacity less headroom.
    double share = 0;    ///< Fixed share (0..1) of this decider; over all deciders at most 1.
};

struct plan_domain {
    base::failure_domain_id id;
    std::uint16_t region = 0;
    double usable = 0; ///< The domain's part of the region's `usable`, by its targets.
};

struct plan_link {
    std::uint16_t from = 0; ///< Region.
    std::uint16_t to = 0;   ///< Region.
    double usable_bits = 0; ///< Bits per second, capacity less headroom.
};

struct plan_site {
    base::site_id id;
    std::uint16_t home = 0;                ///< Nearest failure domain.
    std::vector<std::uint16_t> preference; ///< All failure domains by delay; home first.
};

struct plan_service {
    base::service_id id;
    std::chrono::milliseconds warm_up{0};
    std::vector<bool> served_in; ///< Per failure domain: whether it has targets of the service.
};

/// A pair (site, service) is a row, index `site * services.size() + service`.
struct plan {
    std::vector<plan_region> regions;
    std::vector<plan_domain> domains;
    std::vector<plan_link> links;
    std::vector<std::int32_t> link_of; ///< `from * regions + to` -> index in `links`, or -1.
    std::vector<plan_site> sites;
    std::vector<plan_service> services;
    config::steering_settings settings;
    std::uint32_t deciders = 1;
};

} // namespace snipeshore::steering
