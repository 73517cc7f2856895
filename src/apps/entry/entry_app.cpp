#include "apps/entry/entry_app.h"

#include "apps/common/loop_dispatch.h"
#include "apps/entry/dump.h"
#include "apps/entry/request_task.h"
#include "http/loop.h"
#include "telemetry/event_log.h"
#include "tickets/ticket_encoding.h"

#include <nlohmann/json.hpp>
#include <prometheus/gauge.h>
#include <sodium.h>

#include <utility>

namespace snipeshore::apps {

namespace {

/// Returns a random value other than 0, since 0 means "no entry process".
base::incarnation new_incarnation()
{
    std::uint64_t value = 0;
    while (value == 0) {
        randombytes_buf(&value, sizeof value);
    }
    return base::incarnation(value);
}

} // namespace

entry_app::entry_app(http::loop& loop, entry_settings settings)
    : m_loop(loop), m_settings(std::move(settings)), m_incarnation(new_incarnation()),
      m_client(loop, {}), m_node(with_loop_dispatch(m_settings.node, loop)),
      m_snapshots(
          loop, m_node, m_settings.agent_address, [this] { return report(); },
          [this](const fleet_state& fleet, const fleet_changes& changes) {
              on_change(fleet, changes);
          }),
      m_shares(loop, m_node, m_settings.identity.host, m_incarnation),
      m_tickets(m_node, m_snapshots.state(), m_settings.identity.host, m_incarnation,
                tickets::derive_fleet_secret(m_settings.identity.fleet_secret)),
      m_crashes(loop, m_client, m_node, m_snapshots.state(), m_settings.identity.host),
      m_services{m_settings.identity, loop,     m_client,  m_metrics,
                 m_snapshots.state(), m_shares, m_tickets, m_crashes,
                 m_settings.max_tasks},
      m_targets(loop, m_client, m_services.pools),
      m_server(loop,
               [this](std::shared_ptr<http::exchange> exchange) {
                   request_task::start(m_services, std::move(exchange));
               }),
      m_admin(loop, m_metrics,
              {[this] { return dump(); },
               [this] { return m_snapshots.state().config != nullptr && !m_is_leaving; },
               [this] {
                   refresh_metrics();
               }})
{}

base::status entry_app::start()
{
    m_server.limit_bodies({[this](const http::request_head& head, base::time_point arrived) {
                               return body_deadline(m_services, head, arrived);
                           },
                           [this](const http::request_head& head) {
                               return refuse_unfinished(m_services, head);
                           }});
    base::status started = m_node.start({}, make_service());
    if (base::is_ok(started)) {
        started = m_server.listen(m_settings.server);
    }
    if (base::is_ok(started) && !m_settings.admin_address.empty()) {
        started = m_admin.listen(m_settings.admin_address);
    }
    if (!base::is_ok(started)) {
        return started;
    }
    m_shares.update(m_snapshots.state());
    m_snapshots.start();
    telemetry::log_event(telemetry::severity::info, "started",
                         {{"host", m_settings.identity.host.value()},
                          {"address", m_server.bound_address()},
                          {"inner_address", m_node.bound_address()},
                          {"incarnation", m_incarnation.value()}});
    return {};
}

inner::entry_service entry_app::make_service()
{
    inner::entry_service service;
    service.borrow = [this](const inner::borrow_request& request,
                            const inner::reply_sender<inner::borrow_reply>& reply) {
        reply(m_shares.lend(request));
    };
    service.give_back = [this](std::uint64_t loan,
                               const inner::reply_sender<inner::empty_reply>& reply) {
        m_shares.on_loan_returned(loan);
        reply(inner::empty_reply{});
    };
    service.claim = [this](const inner::claim_request& request,
                           const inner::reply_sender<inner::claim_reply>& reply) {
        reply(m_tickets.handle_claim(request));
    };
    service.complete = [this](const inner::complete_request& request,
                              const inner::reply_sender<inner::empty_reply>& reply) {
        m_tickets.handle_complete(request);
        reply(inner::empty_reply{});
    };
    service.release = [this](const inner::release_request& request,
                             const inner::reply_sender<inner::empty_reply>& reply) {
        m_tickets.handle_release(request);
        reply(inner::empty_reply{});
    };
    service.report_crash = [this](const inner::crash_report& report,
                                  const inner::reply_sender<inner::empty_reply>& reply) {
        m_crashes.on_crash_report(report);
        reply(inner::empty_reply{});
    };
    service.report_success = [this](const std::vector<std::uint64_t>& fingerprints,
                                    const inner::reply_sender<inner::empty_reply>& reply) {
        m_crashes.on_success_report(fingerprints);
        reply(inner::empty_reply{});
    };
    return service;
}

inner::process_report entry_app::report()
{
    inner::process_report report;
    report.entry_incarnation = m_incarnation;
    report.ticket_epoch = m_tickets.epoch();
    report.leaving = m_is_leaving;
    report.config_version = limits::version_in_force(m_shares.ledger()).value();
    return report;
}

void entry_app::on_change(const fleet_state& fleet, const fleet_changes& changes)
{
    if (changes.config || changes.members) {
        m_shares.update(fleet);
    }
    if ((changes.config || changes.drains) && fleet.config != nullptr) {
        update_pools();
    }
}

void entry_app::update_pools()
{
    const fleet_state& fleet = m_snapshots.state();
    const base::time_point now = base::boot_clock::now();
    for (const config::service& service : fleet.config->services) {
        auto pool = m_services.pools.find(service.id);
        if (pool == m_services.pools.end()) {
            pool = m_services.pools.emplace(service.id, make_pool(service, now)).first;
        }
        update_pool(pool->second, service, fleet, m_settings.identity.host,
                    m_settings.identity.failure_domain, now);
    }
    m_targets.update();
}

void entry_app::stop()
{
    if (m_is_leaving) {
        return;
    }
    m_is_leaving = true;
    const base::time_point now = base::boot_clock::now();
    telemetry::log_event(telemetry::severity::info, "stopping",
                         {{"requests", static_cast<std::uint64_t>(m_services.tasks.size())}});
    // Callers cache look-up responses for some seconds, so the entry process continues to accept
    // requests during that time.
    m_loop.schedule(now + m_settings.leave_delay, [this] { drain(); });
    m_loop.schedule(now + m_settings.stop_deadline, [this] { finish_stop(); });
}

void entry_app::drain()
{
    m_server.drain([this] { finish_stop(); });
}

void entry_app::finish_stop()
{
    if (m_has_stopped) {
        return;
    }
    m_has_stopped = true;
    m_shares.return_all();
    m_snapshots.stop();
    telemetry::log_event(telemetry::severity::info, "stopped",
                         {{"requests_cut", static_cast<std::uint64_t>(m_services.tasks.size())}});
    // The delay allows the loan returns to be sent before the node stops.
    m_loop.schedule(base::boot_clock::now() + std::chrono::milliseconds(100), [this] {
        m_node.stop();
        m_loop.stop();
    });
}

nlohmann::json entry_app::dump() const
{
    nlohmann::json all = dump_entry(m_services, m_snapshots.last_reply());
    all["incarnation"] = m_incarnation.value();
    all["leaving"] = m_is_leaving;
    all["open_connections"] = m_server.open_connections();
    all["settings"] = settings_dump();
    return all;
}

void entry_app::refresh_metrics()
{
    m_crashes.drop_expired();
    refresh_entry_metrics(m_services, m_metrics);
    m_metrics.gauge("snipeshore_open_connections", "Open connections of callers.")
        .Set(static_cast<double>(m_server.open_connections()));
    m_metrics
        .gauge("snipeshore_lingering_connections",
               "Connections that this host has closed and their callers have not.")
        .Set(static_cast<double>(m_server.lingering_count()));
    m_metrics
        .gauge("snipeshore_response_buffer_bytes",
               "Bytes of responses held for callers who read slowly.")
        .Set(static_cast<double>(m_services.buffers.used));
}

} // namespace snipeshore::apps
