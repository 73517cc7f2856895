/// @file Chooses the target of a request from what this host knows of the service's targets.
#pragma once

#include "affinity/types/placement.h"
#include "base/time.h"
#include "base/types/ids.h"
#include "prediction/types/service_times.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace snipeshore::apps {

struct target_pool;

/// State outside the pool that determines whether targets can be used.
struct pool_view {
    base::time_point now;
    /// Whether this host is the one that sends requests to a cold target.
    std::function<bool(const base::target_id&)> owns;
};

/// Chooses a target for the request. Excludes the targets in `tried` and the regions that are not
/// allowed.
std::optional<affinity::placement>
choose_target(target_pool& pool, const prediction::request_traits& request,
              const std::vector<base::target_id>& tried,
              const std::function<bool(const base::region_id&)>& allowed,
              const std::map<base::failure_domain_id, base::region_id>& regions,
              const pool_view& view);

/// Time until a target that names a limit or rests takes a request of this host; no value if there
/// is none.
std::optional<base::duration> time_to_room(const target_pool& pool, base::time_point now);

/// Updates the average of the load at home, and the placement that follows it. Called for each
/// request, and before the load is told to other hosts, which must not hear of an old one.
void follow_load(target_pool& pool, const pool_view& view);

} // namespace snipeshore::apps
