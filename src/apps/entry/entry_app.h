/// @file The entry program: connects request tasks, account shares, tickets and the inner protocol.
#pragma once

#include "apps/common/admin_server.h"
#include "apps/common/snapshot_client.h"
#include "apps/entry/crash_monitor.h"
#include "apps/entry/entry_services.h"
#include "apps/entry/share_manager.h"
#include "apps/entry/target_watch.h"
#include "apps/entry/ticket_service.h"
#include "base/result.h"
#include "http/client.h"
#include "http/server.h"
#include "inner/node.h"
#include "telemetry/metrics.h"

#include <chrono>
#include <string>

namespace snipeshore::http {
class loop;
}

namespace snipeshore::apps {

struct entry_settings {
    entry_identity identity;
    http::server_settings server;
    inner::node_settings node;
    std::string agent_address;
    std::string admin_address;
    std::chrono::milliseconds stop_deadline{30000};
    std::chrono::milliseconds leave_delay{6000};
    std::size_t max_tasks = 4096;
};

/// Must only be used on the thread of the event loop.
class entry_app {
public:
    entry_app(http::loop& loop, entry_settings settings);

    base::status start();

    /// Planned stop: has the host removed from look-up responses, completes the requests in
    /// progress, returns all loans, then stops the loop. Requests that are still in progress at the
    /// stop deadline are aborted.
    void stop();

private:
    inner::entry_service make_service();
    inner::process_report report();
    void on_change(const fleet_state& fleet, const fleet_changes& changes);
    void update_pools();
    void drain();
    void finish_stop();
    nlohmann::json dump() const;
    void refresh_metrics();

    http::loop& m_loop;
    entry_settings m_settings;
    base::incarnation m_incarnation;
    telemetry::metrics m_metrics;
    http::client m_client;
    inner::node m_node;
    snapshot_client m_snapshots;
    share_manager m_shares;
    ticket_service m_tickets;
    crash_monitor m_crashes;
    entry_services m_services;
    target_watch m_targets;
    http::server m_server;
    admin_server m_admin;
    bool m_is_leaving = false;
    bool m_has_stopped = false;
};

} // namespace snipeshore::apps
