/// @file The lookup program: responds with the entry host that a caller should use, and issues
/// tickets.
#pragma once

#include "apps/common/admin_server.h"
#include "apps/common/snapshot_client.h"
#include "apps/lookup/lookup_table.h"
#include "base/result.h"
#include "http/server.h"
#include "inner/node.h"
#include "telemetry/metrics.h"
#include "tickets/types/ticket.h"

#include <chrono>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace snipeshore::http {
class exchange;
class loop;
} // namespace snipeshore::http

namespace snipeshore::apps {

struct lookup_settings {
    base::host_id host;
    base::failure_domain_id failure_domain;
    http::server_settings server;
    inner::node_settings node;
    std::string agent_address;
    std::string admin_address;
    std::string fleet_secret;
    bool trust_client_header = false;
    std::chrono::milliseconds stop_deadline{10000};
};

/// Must only be used on the thread of the event loop.
class lookup_app {
public:
    lookup_app(http::loop& loop, lookup_settings settings);

    base::status start();
    void stop();

private:
    struct query_parameters {
        std::string service;
        bool once = false;
    };

    void on_change(const fleet_state& fleet, const fleet_changes& changes);
    inner::process_report report();
    void handle(http::exchange& exchange);
    /// Returns the body of the response.
    base::result<std::string> look_up(const http::exchange& exchange);
    base::result<std::string> make_response_body(const query_parameters& parameters,
                                                 const lookup_result& found,
                                                 const base::account_id& account) const;
    base::result<query_parameters> parse_query(std::string_view path) const;
    base::result<base::account_id> identify(const http::exchange& exchange,
                                            const query_parameters& parameters) const;
    std::optional<steering::client_address> caller_address_of(const http::exchange& exchange) const;
    nlohmann::json dump() const;

    http::loop& m_loop;
    lookup_settings m_settings;
    tickets::fleet_secret m_ticket_secret;
    telemetry::metrics m_metrics;
    inner::node m_node;
    snapshot_client m_snapshots;
    http::server m_server;
    admin_server m_admin;
    std::optional<lookup_table> m_table;
    base::time_point m_last_report{};
    std::minstd_rand m_random;
    bool m_is_leaving = false;
};

} // namespace snipeshore::apps
