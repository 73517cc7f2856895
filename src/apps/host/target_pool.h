/// @file Targets of one service, with the state that one host keeps about them.
#pragma once

#include "affinity/copies.h"
#include "affinity/placement.h"
#include "apps/host/types/target_entry.h"
#include "base/time.h"
#include "limits/types/target_limit.h"
#include "prediction/types/service_times.h"
#include "retries/types/retry.h"
#include "routing/types/route_table.h"
#include "signals/types/target_signals.h"

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
    std::uint32_t running = 0; ///< Requests of this host in progress at the target.
    double reported_load = 0;  ///< Requests of all hosts, as last reported by the target.
    std::uint32_t running_at_report = 0;
    base::time_point reported_at{};
    base::time_point last_response_at{}; ///< Time of the last response of any kind.
    prediction::target_history history;
    double failure_fraction = 0; ///< Moving average of the fraction of failed attempts.
    unsigned failures_in_row = 0;
    base::time_point ejected_until{};
    base::time_point cold_until{};
    /// Counts as cold until then, because it may have stopped: it accepted no connection.
    base::time_point maybe_cold_until{};
    double cold_tokens = 0; ///< Token bucket for requests sent while the target is cold.
    base::time_point cold_refilled{};
    bool is_drained = false;
    limits::target_limit limit;
    bool has_unreadable_limit = false; ///< It named a limit that is no number.
    signals::target_signals signals;
    bool has_unreadable_signal = false;
    bool is_misdirected = false; ///< Another target responds at its address.
};

/// Load that another host reported for its failure domain.
struct domain_load {
    double requests_per_slot = 0;
    base::time_point reported_at{};
};

/// What a target has said whose row is missing. Its row may come back.
struct missing_target {
    std::int64_t started_ms = 0;
    signals::target_signals signals;
    base::time_point forget_at;
};

/// State of the targets of one service. Belongs to the loop's thread.
struct target_pool {
    base::service_id service;
    double cold_rate = 0;                   ///< Requests per second that a cold target can handle.
    std::chrono::milliseconds cold_time{0}; ///< Time for which a target is cold after a start.
    std::vector<pooled_target> targets;
    affinity::layout layout; ///< Layout of `targets`, with the same indexes.
    std::map<base::target_id, missing_target> missing;
    std::map<base::failure_domain_id, domain_load> domain_loads;
    affinity::copy_ledger copies;
    affinity::home_load home_load; ///< Moving average.
    prediction::service_times times;
    retries::retry_budget budget;
    double settle_tokens = 0; ///< Number of objects that may move to their first target now.
};

/// Replaces the targets and keeps the state of those with an unchanged incarnation. What a target
/// has said holds on for that incarnation, also under another address or while its row is missing.
void set_targets(target_pool& pool, const std::vector<target_entry>& entries,
                 const std::function<bool(const base::failure_domain_id&)>& is_drained,
                 const std::map<base::failure_domain_id, base::region_id>& regions,
                 const base::failure_domain_id& own_domain, base::time_point now);

/// Requests at the target: this host's own, and those of others as the target reported lately.
double load_of(const pooled_target& target, base::time_point now);

/// Weight of the target's last load report, 0 to 1.
double report_freshness(const pooled_target& target, base::time_point now);

/// Requests that may be sent now to the target while it is cold.
double cold_tokens(const target_pool& pool, const pooled_target& target, base::time_point now);

pooled_target* find_target(target_pool& pool, const base::target_id& id);

/// What the host predicted about a request when it sent it to a target.
struct sent_request {
    prediction::request_traits traits;
    prediction::recency known = prediction::recency::never;
    base::duration predicted_wait{0};
    bool had_free_slot = true;
};

sent_request on_sent(target_pool& pool, pooled_target& target,
                     const prediction::request_traits& request, base::duration predicted_wait,
                     base::time_point now);

/// `took`: duration of a complete successful response; empty otherwise.
void on_ended(target_pool& pool, pooled_target& target, const sent_request& sent,
              std::optional<base::duration> took, base::time_point now);

/// Records a failure that the target is responsible for. Returns true if the target is ejected
/// because of it. Failures that are not hard, such as rejections of some requests, eject a limited
/// fraction of the targets: if most of them fail alike, the others are no better and would be
/// overloaded.
bool on_failure(const target_pool& pool, pooled_target& target, bool is_hard, base::time_point now);

/// Called when the target accepted no connection: it may have stopped, and is then cold when it
/// returns.
void on_unreachable(const target_pool& pool, pooled_target& target);

/// Forgets failures and ejections, and that targets accepted no connection: the paths to all of
/// them were lost, which tells nothing about the targets.
void forget_failures(target_pool& pool);

/// Whether the target only takes the rate of a cold one.
bool is_cold(const target_pool& pool, const pooled_target& target, base::time_point now);

void on_success(pooled_target& target);

/// Applies a load report "running,waiting,slots"; returns false if it is malformed.
bool apply_load_report(pooled_target& target, std::string_view text, base::time_point now);

/// Called when the target rejected a request because of its load.
void on_rejected(pooled_target& target, base::time_point now);

/// Records the size of a completed request: `body_bytes` is that of both bodies.
void on_transferred(target_pool& pool, const pooled_target& target, const sent_request& sent,
                    std::size_t body_bytes, base::time_point now);

/// Called when the target did not run the request.
void on_not_run(pooled_target& target, const sent_request& sent);

} // namespace snipeshore::apps
