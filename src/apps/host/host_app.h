/// @file snipeshore-host: serves look-ups, requests and control messages of one host in one
/// process.
#pragma once

#include "apps/common/admin_server.h"
#include "apps/host/evidence_store.h"
#include "apps/host/host_context.h"
#include "apps/host/peer_exchange.h"
#include "apps/host/reach_watch.h"
#include "apps/host/relay_store.h"
#include "apps/host/request_relay.h"
#include "apps/host/target_checks.h"
#include "apps/host/target_registry.h"
#include "apps/host/types/host_settings.h"
#include "apps/host/types/row_formats.h"
#include "apps/host/watched_store.h"
#include "base/result.h"
#include "http/client.h"
#include "rows/row_store.h"
#include "rows/table_follower.h"
#include "telemetry/metrics.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace snipeshore::http {
class exchange;
class loop;
class server;
struct request_head;
struct response_head;
} // namespace snipeshore::http

namespace snipeshore::routing {
struct route;
}

namespace snipeshore::apps {

/// Belongs to the loop's thread. The store must outlive it.
class host_app {
public:
    host_app(http::loop& loop, host_settings settings, row_formats formats, rows::row_store& store);
    ~host_app();
    host_app(const host_app&) = delete;
    host_app& operator=(const host_app&) = delete;
    host_app(host_app&&) = delete;
    host_app& operator=(host_app&&) = delete;

    base::status start();

    /// Planned stop: withdraws the host from look-ups, continues to serve requests for
    /// `leave_delay`, then stops the loop.
    void stop();

    /// Applies changed settings, except for the addresses that are already bound.
    void reload(const host_settings& settings);

    nlohmann::json dump() const;

    bool is_ready() const;
    std::uint64_t config_version() const; ///< 0 if no configuration is loaded yet.
    std::size_t known_targets() const;

private:
    base::status listen();
    /// Whether the request may run before the earlier requests of its connection are answered.
    /// Null if there is none.
    const routing::route* find_route(const http::request_head& head) const;
    bool allows_pipelining(const http::request_head& head) const;
    /// Records and makes the response to a request whose body was not complete at its deadline.
    std::pair<http::response_head, std::string> refuse_unfinished(const http::request_head& head);
    void register_host();
    /// Registers the host again if the store has lost its registration: at once when the store has
    /// begun a later era, else from time to time.
    void check_registration();
    void check_ready();
    void handle_ready(http::exchange& request) const;
    void handle_lookup(http::exchange& request) const;

    void on_operator_rows(const std::vector<rows::row>& changes);
    void apply_config(const rows::row& change);
    bool apply_drain(const rows::row& change);
    void end_drain(const base::failure_domain_id& domain);
    /// Ends drains whose rows were not written again in time. Returns true if there were any.
    bool end_due_drains(base::time_point now);
    /// Treats the targets of a failure domain as cold after its drain, because they may have become
    /// cold without having reported it yet.
    void mark_cold(const base::failure_domain_id& domain);
    void on_target_rows(const std::vector<rows::row>& changes);
    void on_host_rows(const std::vector<rows::row>& changes);

    void make_pools(); ///< For the services of the configuration.
    void update_targets();
    void update_shares();
    void on_reach_changed();
    void on_store_contact_changed(bool is_silent);
    void housekeep();
    void remove_unlisted(const base::host_id& host);
    void remove_expired_hosts();
    void refresh_metrics();
    void drain();
    /// Stops once requests that other hosts relay have ended as well.
    void finish_stop_when_idle();
    void finish_stop();
    void stop_loop_when_idle();

    http::loop& m_loop;
    host_settings m_settings;
    row_formats m_formats;
    telemetry::metrics m_metrics;
    http::client m_client;
    host_context m_context;
    target_checks m_checks;
    reach_watch m_reach_watch;
    fleet::member m_self;
    request_relay m_request_relay;
    watched_store m_store;
    relay_store m_relay;
    target_registry m_registry;
    std::set<base::failure_domain_id> m_drained;
    /// Drains whose rows went missing when the store returned, and the times at which they end
    /// unless their rows are written again.
    std::map<base::failure_domain_id, base::time_point> m_pending_drain_ends;
    rows::table_follower m_operator_rows;
    rows::table_follower m_target_rows;
    rows::table_follower m_host_rows;
    evidence_store m_evidence;
    peer_exchange m_peers;
    admin_server m_admin;
    std::unique_ptr<http::server> m_entry;
    std::unique_ptr<http::server> m_lookup;
    std::unique_ptr<http::server> m_ready;
    std::unique_ptr<rows::store_call> m_registration;
    http::timer_id m_registration_retry = 0;
    std::string m_registered_row;
    std::uint64_t m_registration_era = 0; ///< Era of the store in which the row was last checked.
    /// Time of the next check of the row in the same era; not set while a registration is pending.
    std::optional<base::time_point> m_registration_check_due;
    std::size_t m_sharing_hosts = 0; ///< Number of hosts that share the accounts' limits.
    /// Whether the shares of the accounts' limits are based on the known hosts.
    bool m_has_shares = false;
    base::time_point m_started{};
    base::time_point m_stop_deadline{};
    base::time_point m_housekeeping_due{};
    bool m_has_stopped = false;
};

} // namespace snipeshore::apps
