/// @file Targets of one service as one host knows them.
#pragma once

#include "affinity/placement.h"
#include "apps/host/types/target_entry.h"
#include "base/time.h"
#include "retries/types/retry.h"
#include "routing/types/route_table.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipeshore::apps {

struct pooled_target {
    target_entry entry;
    std::uint32_t running = 0; ///< Requests of this host.
    double reported_load = 0;  ///< Requests of all hosts when it last answered.
    std::uint32_t running_at_report = 0;
    base::time_point reported_at{};
    base::time_point last_response_at{}; ///< Of its last response of any kind.
    base::duration service_time{0};      ///< Moving average without waiting; 0: no sample yet.
    base::time_point sampled_at{};
    double failure_fraction = 0; ///< Moving average of failed attempts.
    unsigned failures_in_row = 0;
    base::time_point ejected_until{};
    base::time_point cold_until{};
    double cold_tokens = 0; ///< Requests that may be sent while it is cold.
    base::time_point cold_refilled{};
    bool is_drained = false;
    bool is_misdirected = false; ///< Its address answers as another target.
};

/// State of one service. Belongs to the loop's thread.
struct target_pool {
    base::service_id service;
    double cold_rate = 0;                   ///< Requests per second that a cold target bears.
    std::chrono::milliseconds cold_time{0}; ///< After a start.
    std::vector<pooled_target> targets;
    affinity::layout layout;        ///< Of `targets`, same indexes.
    base::duration service_time{0}; ///< Moving average over all targets.
    retries::retry_budget budget;
};

/// What the targets' health depends on beside the pool.
struct pool_view {
    base::time_point now;
    /// Whether this host may send to a cold target.
    std::function<bool(const base::target_id&)> owns;
};

/// Sets the targets, keeping the state of those that stay the same incarnation.
void set_targets(target_pool& pool, const std::vector<target_entry>& entries,
                 const std::function<bool(const base::failure_domain_id&)>& is_drained,
                 const std::map<base::failure_domain_id, base::region_id>& regions,
                 const base::failure_domain_id& own_domain, base::time_point now);

/// Chooses a target for the object. `tried` targets are left out, as are regions that are not
/// allowed.
std::optional<affinity::placement>
choose_target(target_pool& pool, std::uint64_t object, const std::vector<base::target_id>& tried,
              const std::function<bool(const base::region_id&)>& allowed,
              const std::map<base::failure_domain_id, base::region_id>& regions,
              const pool_view& view);

pooled_target* find_target(target_pool& pool, const base::target_id& id);

void on_sent(target_pool& pool, pooled_target& target, base::time_point now);

/// `took`: time of a whole good answer, or nothing for other ends.
void on_ended(target_pool& pool, pooled_target& target, std::optional<base::duration> took,
              base::time_point now);

/// The target failed a request in a way that speaks against it. True if it is ejected by that.
bool on_failure(pooled_target& target, bool is_hard, base::time_point now);

/// The target took no connection: it may have ended, and is cold when it is back.
void on_unreachable(const target_pool& pool, pooled_target& target);

void on_success(pooled_target& target);

/// Takes a load report "running,waiting,slots"; false if it is not one.
bool apply_load_report(pooled_target& target, std::string_view text, base::time_point now);

/// The target rejected a request for load.
void on_rejected(pooled_target& target, base::time_point now);

} // namespace snipeshore::apps
