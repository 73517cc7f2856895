/// @file State shared by the request tasks of one host. Used only on the loop's thread.
#pragma once

#include "apps/common/response_buffers.h"
#include "apps/host/target_choice.h"
#include "apps/host/target_pool.h"
#include "apps/host/types/host_settings.h"
#include "base/types/ids.h"
#include "crash_evidence/crash_watch.h"
#include "crash_evidence/stored_evidence.h"
#include "fleet/bulletin.h"
#include "fleet/types/member.h"
#include "limits/types/fleet_share.h"
#include "reachability/types/target_reach.h"
#include "retries/liveness.h"
#include "routing/types/route_table.h"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace snipeshore::http {
class client;
class exchange;
class loop;
} // namespace snipeshore::http

namespace snipeshore::telemetry {
class metrics;
}

namespace snipeshore::apps {

class forward_task;

struct host_context {
    const host_settings& settings;
    http::loop& loop;
    http::client& client;
    telemetry::metrics& metrics;
    std::shared_ptr<const routing::route_table> routes; ///< Null until a configuration is loaded.
    std::unordered_map<base::service_id, target_pool> pools;
    std::unordered_map<base::account_id, limits::fleet_share> shares;
    std::unordered_map<base::account_id, limits::fleet_limit> limits; ///< Of the whole fleet.
    fleet::member_table members;
    fleet::bulletin notices;
    crash_evidence::crash_watch crashes;
    reachability::target_reach reach;
    bool is_leaving = false; ///< A planned stop has begun.
    /// New requests are refused because the process ends before they could finish.
    bool is_closing = false;
    /// When the process ends; no request runs longer.
    base::time_point stop_deadline = base::time_point::max();
    std::mt19937_64 random;
    response_buffers buffers;
    /// Keeps the requests in progress alive.
    std::unordered_set<std::shared_ptr<forward_task>> tasks;
    std::size_t max_tasks = 2048;
    /// Keeps a notice of this host about a crash or a quarantine in the store, see
    /// `evidence_store::keep`.
    std::function<void(const fleet::notice&, bool is_confirmed)> keep_evidence;
    /// Drops evidence from the store, see `crash_evidence::clear_request`.
    std::function<void(const fleet::notice& cleared, crash_evidence::keep_clearance)>
        clear_evidence;
    /// Sends messages with the notices to other hosts soon, see `peer_exchange::spread`.
    std::function<void()> spread;
    /// Called when another host has contact with the store again.
    std::function<void()> on_store_contact_at_peer;
    /// Called when a change of a table that has this version has come from another host.
    std::function<void(const std::string& table, std::uint64_t version)> on_change_at_peer;
    /// Finds out whether a target has ended, see `target_checks::start`.
    std::function<void(const base::target_id&, const std::string& address,
                       std::function<void(retries::liveness)>)>
        check_target;
    /// Called after each event that was recorded in `reach`, see `reach_watch::update`.
    std::function<void()> update_reach;
    /// Relays a request through another host, see `request_relay::take_over`.
    std::function<bool(const std::shared_ptr<http::exchange>&, const routing::route&,
                       const routing::account*)>
        relay;
    /// Requests token grants for an account from other hosts, see `peer_exchange::borrow`.
    std::function<bool(const base::account_id&, std::function<void()>)> borrow;
};

/// Returns the pool of the service; creates it on first use.
target_pool& pool_of(host_context& context, const base::service_id& service);

/// Empty if the settings do not name the failure domain.
base::region_id region_of(const host_context& context, const base::failure_domain_id& domain);

/// Counts a request that has ended.
void count_request(host_context& context, const std::string& route, std::string_view outcome);

/// Updates the retry budgets to the number of hosts that are currently known.
void update_budgets(host_context& context);

/// Returns the state of the fleet on which the choice of targets depends.
pool_view make_view(const host_context& context, base::time_point now);

} // namespace snipeshore::apps
