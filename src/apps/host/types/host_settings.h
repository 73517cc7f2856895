/// @file Settings of the snipeshore-host program.
#pragma once

#include "apps/host/types/wire_names.h"
#include "base/types/ids.h"
#include "limits/types/fleet_share.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace snipeshore::apps {

struct host_settings {
    base::host_id host;
    base::failure_domain_id failure_domain;
    std::map<base::failure_domain_id, base::region_id> regions;
    std::string entry_address;      ///< For callers' requests.
    std::string ready_address;      ///< For readiness checks.
    std::string lookup_address;     ///< For callers' look-ups.
    std::string control_address;    ///< For the other hosts.
    std::string metrics_address;    ///< Empty: no metrics are served.
    std::vector<std::string> seeds; ///< Control addresses of other hosts; may be stale.
    std::size_t memory_limit_bytes = 0;
    wire_names names;

    /// Time for which callers may cache the result of a look-up.
    std::chrono::milliseconds lookup_ttl{2000};
    /// Time for which a stopping host continues to accept requests, because callers cache look-ups.
    std::chrono::milliseconds leave_delay{3500};
    std::chrono::milliseconds stop_deadline{5500}; ///< Longest duration of a planned stop.

    double retry_ratio = 0.1; ///< Retries of the whole fleet per request of a service.
    double retry_extra = 10;  ///< Additional retries of the whole fleet per `retry_window`.
    std::chrono::milliseconds retry_window{10000};
    limits::allowed_overrun quota_overrun;
    /// Time after an outage or restoration of the store within which rows that went missing may be
    /// written again. Until then drains hold, and targets are still used if their rows may have
    /// expired or been lost, see `target_registry`.
    std::chrono::milliseconds reappear_time{2000};
};

} // namespace snipeshore::apps
