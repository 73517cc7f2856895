#include "apps/lookup/lookup_app.h"

#include "apps/common/loop_dispatch.h"
#include "apps/common/request_headers.h"
#include "base/error_response.h"
#include "http/exchange.h"
#include "http/loop.h"
#include "telemetry/event_log.h"
#include "tickets/ticket_encoding.h"

#include <nlohmann/json.hpp>
#include <prometheus/counter.h>
#include <sodium.h>

#include <algorithm>
#include <utility>

namespace snipeshore::apps {

namespace {

using base::error;
using base::error_kind;

constexpr std::string_view lookup_path = "/lookup";
constexpr std::string_view client_header = "snipeshore-client-address";

std::string_view without_port(std::string_view address)
{
    std::string_view host = address.substr(0, address.rfind(':'));
    if (host.starts_with('[') && host.ends_with(']')) {
        host = host.substr(1, host.size() - 2);
    }
    return host;
}

const config::service* find_service(const config::document& document, std::string_view id)
{
    const auto found =
        std::find_if(document.services.begin(), document.services.end(),
                     [&](const config::service& service) { return service.id.value() == id; });
    return found == document.services.end() ? nullptr : &*found;
}

bool has_anonymous_route(const config::service& service)
{
    return std::any_of(service.routes.begin(), service.routes.end(),
                       [](const auto& route) { return route.who == config::access::open; });
}

} // namespace

lookup_app::lookup_app(http::loop& loop, lookup_settings settings)
    : m_loop(loop), m_settings(std::move(settings)),
      m_ticket_secret(tickets::derive_fleet_secret(m_settings.fleet_secret)),
      m_node(with_loop_dispatch(m_settings.node, loop)),
      m_snapshots(
          loop, m_node, m_settings.agent_address, [this] { return report(); },
          [this](const fleet_state& fleet, const fleet_changes& changes) {
              on_change(fleet, changes);
          }),
      m_server(loop,
               [this](const std::shared_ptr<http::exchange>& exchange) { handle(*exchange); }),
      m_admin(loop, m_metrics,
              {[this] { return dump(); }, [this] { return m_table.has_value() && !m_is_leaving; },
               [] {
               }}),
      m_random(randombytes_random())
{}

base::status lookup_app::start()
{
    base::status started = m_node.start({}, {});
    if (base::is_ok(started)) {
        started = m_server.listen(m_settings.server);
    }
    if (base::is_ok(started) && !m_settings.admin_address.empty()) {
        started = m_admin.listen(m_settings.admin_address);
    }
    if (!base::is_ok(started)) {
        return started;
    }
    m_snapshots.start();
    telemetry::log_event(
        telemetry::severity::info, "started",
        {{"host", m_settings.host.value()}, {"address", m_server.bound_address()}});
    return {};
}

void lookup_app::stop()
{
    if (std::exchange(m_is_leaving, true)) {
        return;
    }
    telemetry::log_event(telemetry::severity::info, "stopping", {});
    const auto finish = [this] {
        m_snapshots.stop();
        m_node.stop();
        m_loop.stop();
    };
    m_loop.schedule(base::boot_clock::now() + m_settings.stop_deadline, finish);
    m_server.drain(finish);
}

inner::process_report lookup_app::report()
{
    inner::process_report report;
    if (!m_table.has_value()) {
        return report;
    }
    if (m_snapshots.is_agent_unreachable()) {
        report.weights = m_snapshots.state().weights;
    }
    const base::time_point now = base::boot_clock::now();
    const double seconds = std::chrono::duration<double>(now - m_last_report).count();
    const std::size_t services = m_table->plan.services.size();
    for (std::size_t row = 0; row < m_table->demand.size(); ++row) {
        const std::uint64_t count = std::exchange(m_table->demand[row], 0);
        if (count == 0 || seconds <= 0) {
            continue;
        }
        report.demand.push_back({m_table->plan.sites[row / services].id.value(),
                                 m_table->plan.services[row % services].id.value(),
                                 static_cast<double>(count) / seconds});
    }
    m_last_report = now;
    return report;
}

void lookup_app::on_change(const fleet_state& fleet, const fleet_changes& changes)
{
    if (fleet.config == nullptr) {
        return;
    }
    if (changes.config) {
        base::result<lookup_table> table =
            make_lookup_table(*fleet.config, m_settings.failure_domain);
        if (!base::is_ok(table)) {
            telemetry::log_event(telemetry::severity::error, "lookup_table_rejected",
                                 {{"cause", base::error_of(table).detail}});
            return;
        }
        m_table = std::move(base::value_of(table));
    }
    if (m_table.has_value() && (changes.config || changes.weights)) {
        set_weights(*m_table, fleet.weights);
    }
    if (m_table.has_value() && (changes.config || changes.members || changes.drains)) {
        set_hosts(*m_table, fleet);
    }
}

void lookup_app::handle(http::exchange& exchange)
{
    base::result<std::string> body = look_up(exchange);
    if (base::is_ok(body)) {
        m_metrics.counter("snipeshore_lookups_total", "Look-ups by outcome.", {{"outcome", "ok"}})
            .Increment();
        http::response_head head;
        head.headers = {{"content-type", "application/json"}, {"cache-control", "private"}};
        exchange.respond(std::move(head), std::move(base::value_of(body)));
        return;
    }
    const error& cause = base::error_of(body);
    const std::string request_id = request_id_of(exchange.head());
    m_metrics
        .counter("snipeshore_lookups_total", "Look-ups by outcome.",
                 {{"outcome", std::string(base::response_for(cause.kind).name)}})
        .Increment();
    telemetry::log_event(telemetry::severity::info, "lookup_refused",
                         {{"request_id", request_id},
                          {"error", base::response_for(cause.kind).name},
                          {"detail", cause.detail}});
    const std::chrono::seconds retry_after(cause.kind == error_kind::region_full ? 1 : 0);
    exchange.respond(refusal_head(cause, true, request_id, retry_after),
                     base::error_body(cause, request_id, true));
}

base::result<std::string> lookup_app::look_up(const http::exchange& exchange)
{
    const base::result<query_parameters> parameters = parse_query(exchange.head().path);
    if (!base::is_ok(parameters)) {
        return base::error_of(parameters);
    }
    if (exchange.head().method != "GET") {
        return error{error_kind::method_not_allowed, "look-ups allow only the method GET"};
    }
    if (!m_table.has_value()) {
        return error{error_kind::not_ready, "this host has no configuration yet"};
    }
    const base::result<base::account_id> account = identify(exchange, base::value_of(parameters));
    if (!base::is_ok(account)) {
        return base::error_of(account);
    }
    const auto draw = static_cast<std::uint16_t>(m_random() >> 8U);
    const base::result<lookup_result> found = choose_entry_host(
        *m_table, base::value_of(parameters).service, caller_address_of(exchange), draw);
    if (!base::is_ok(found)) {
        return base::error_of(found);
    }
    return make_response_body(base::value_of(parameters), base::value_of(found),
                              base::value_of(account));
}

base::result<lookup_app::query_parameters> lookup_app::parse_query(std::string_view path) const
{
    const std::size_t mark = path.find('?');
    if (path.substr(0, mark) != lookup_path) {
        return error{error_kind::route_unknown, "only " + std::string(lookup_path) + " is served"};
    }
    query_parameters parameters;
    std::string_view rest = mark == std::string_view::npos ? "" : path.substr(mark + 1);
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('&'), rest.size());
        const std::string_view pair = rest.substr(0, end);
        rest.remove_prefix(std::min(end + 1, rest.size()));
        if (pair.starts_with("service=")) {
            parameters.service = std::string(pair.substr(8));
        } else if (pair == "once=1") {
            parameters.once = true;
        } else if (pair != "once=0") {
            return error{error_kind::bad_request, "unknown query parameter \"" +
                                                      std::string(pair.substr(0, pair.find('='))) +
                                                      "\", expected service=NAME and once=1"};
        }
    }
    if (parameters.service.empty()) {
        return error{error_kind::bad_request, "the query parameter service is missing"};
    }
    return parameters;
}

base::result<base::account_id> lookup_app::identify(const http::exchange& exchange,
                                                    const query_parameters& parameters) const
{
    const fleet_state& fleet = m_snapshots.state();
    const config::service* service = find_service(*fleet.config, parameters.service);
    if (service == nullptr) {
        return error{error_kind::service_unknown, "unknown service \"" + parameters.service + "\""};
    }
    const bool has_key = http::find_header(exchange.head().headers, "authorization").has_value();
    if (!has_key && !parameters.once && has_anonymous_route(*service)) {
        return base::account_id();
    }
    const base::result<base::account_id> account =
        authenticate(fleet, m_settings.fleet_secret, exchange.head(), base::boot_clock::now());
    if (!base::is_ok(account)) {
        return account;
    }
    const base::status allowed =
        check_service_allowed(*fleet.config, base::value_of(account), service->id);
    if (!base::is_ok(allowed)) {
        return base::error_of(allowed);
    }
    return account;
}

std::optional<steering::client_address>
lookup_app::caller_address_of(const http::exchange& exchange) const
{
    if (m_settings.trust_client_header) {
        const auto given = http::find_header(exchange.head().headers, client_header);
        if (given.has_value()) {
            return steering::parse_client_address(*given);
        }
    }
    return steering::parse_client_address(without_port(exchange.peer_address()));
}

base::result<std::string> lookup_app::make_response_body(const query_parameters& parameters,
                                                         const lookup_result& found,
                                                         const base::account_id& account) const
{
    const fleet_state& fleet = m_snapshots.state();
    const inner::host_record& host = fleet.members[found.member];
    nlohmann::json body{{"host", host.host.value()},
                        {"address", host.entry_address},
                        {"failure_domain", host.failure_domain.value()},
                        {"cache_s", fleet.config->steering.lookup_cache.count()}};
    if (parameters.once) {
        const tickets::ticket ticket{tickets::random_ticket_id(), host.host, host.entry_incarnation,
                                     host.ticket_epoch, account};
        const base::result<std::string> text = tickets::mint(ticket, m_ticket_secret);
        if (!base::is_ok(text)) {
            return base::error_of(text);
        }
        body["ticket"] = base::value_of(text);
    }
    return body.dump() + "\n";
}

nlohmann::json lookup_app::dump() const
{
    const fleet_state& fleet = m_snapshots.state();
    nlohmann::json all{{"program", "snipeshore-lookup"},
                       {"host", m_settings.host.value()},
                       {"failure_domain", m_settings.failure_domain.value()},
                       {"versions",
                        {{"config", fleet.config_version},
                         {"keys", fleet.keys_version},
                         {"drains", fleet.drains_version}}},
                       {"members", fleet.members.size()},
                       {"steering_revision", fleet.steering_revision},
                       {"leaving", m_is_leaving},
                       {"settings", settings_dump()}};
    nlohmann::json weights = nlohmann::json::array();
    for (const inner::site_weights& entry : fleet.weights) {
        weights.push_back({{"site", entry.site},
                           {"service", entry.service},
                           {"failure_domains", entry.failure_domains},
                           {"weights", entry.weights}});
    }
    all["weights"] = std::move(weights);
    if (m_table.has_value()) {
        all["blocks_bytes"] = steering::memory_of(m_table->blocks);
    }
    return all;
}

} // namespace snipeshore::apps
