#include "apps/host/host_app.h"

#include "apps/host/forward_task.h"
#include "apps/host/notices.h"
#include "apps/host/target_ends.h"
#include "apps/host/target_limits.h"
#include "fleet/exchange_encoding.h"
#include "fleet/members.h"
#include "http/exchange.h"
#include "http/loop.h"
#include "http/server.h"
#include "limits/fleet_share.h"
#include "routing/route_table.h"
#include "telemetry/event_log.h"

#include <nlohmann/json.hpp>
#include <prometheus/histogram.h>
#include <sodium.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace snipeshore::apps {

using telemetry::severity;

namespace {

constexpr std::chrono::milliseconds housekeeping_interval{500};

/// A pending long poll reports changes of the operators' table at once, so it is renewed rarely.
/// `watched_store` ends it sooner if other calls show that the store does not respond.
constexpr std::chrono::milliseconds operator_poll_wait{4000};

/// Targets report continuously, so each call collects the changes of this interval. Hosts must
/// learn within two seconds that a target is leaving, even if the reader of the failure domain has
/// just stopped.
constexpr std::chrono::milliseconds target_poll_interval{700};

constexpr std::chrono::milliseconds host_poll_wait{8000};

/// Backoff between calls to an unavailable store. Each call has a cost, but the store may recover
/// at any moment.
constexpr std::chrono::milliseconds initial_backoff{100};
constexpr std::chrono::milliseconds max_backoff{1000};

/// A listed host without contact for this long is no longer counted. This is longer than any host
/// stays isolated while it serves.
constexpr std::chrono::seconds host_retention{60};

/// Longest time that a host with a configuration waits for the first targets and hosts before it
/// reports that it is ready.
constexpr std::chrono::milliseconds max_readiness_delay{2500};

/// Added to the configured idle time-out, so that a caller that observes it never finds its
/// connection closed.
constexpr std::chrono::milliseconds idle_timeout_margin{1000};

/// Connecting to another region takes 30 ms. A lost packet takes longer than trying another target.
constexpr std::chrono::milliseconds target_connect_timeout{350};

/// Shorter than the idle time-out of the targets.
constexpr std::chrono::milliseconds target_idle_timeout{8000};

/// Time for the removal of the host's row to reach the store.
constexpr std::chrono::milliseconds deregistration_delay{150};
constexpr std::chrono::milliseconds idle_check_interval{20};

/// Longer than a change takes to arrive through the reader of the failure domain.
constexpr std::chrono::seconds registration_check_interval{10};

/// Delay before a failed registration of this host in the store is retried.
constexpr std::chrono::seconds registration_retry_delay{2};

http::client_settings target_client_settings()
{
    http::client_settings settings;
    settings.connect_timeout = target_connect_timeout;
    settings.idle_timeout = target_idle_timeout;
    settings.accepts_close_delimited = true;
    return settings;
}

base::incarnation new_incarnation()
{
    std::uint64_t value = 0;
    randombytes_buf(&value, sizeof value);
    // 48 bits are represented exactly by the numbers of JSON parsers.
    return base::incarnation(value >> 16U);
}

fleet::member make_member(const host_settings& settings)
{
    return {settings.host,          settings.failure_domain,
            settings.entry_address, settings.control_address,
            new_incarnation(),      fleet::member_state::starting};
}

} // namespace

host_app::host_app(http::loop& loop, host_settings settings, row_formats formats,
                   rows::row_store& store)
    : m_loop(loop), m_settings(std::move(settings)), m_formats(std::move(formats)),
      m_client(loop, target_client_settings()), m_context{m_settings, loop, m_client, m_metrics},
      m_checks(loop, m_client), m_reach_watch(m_context, m_checks, [this] { on_reach_changed(); }),
      m_self(make_member(m_settings)), m_request_relay(m_context, m_self),
      m_store(
          loop, store, m_metrics,
          {m_formats.operator_table,
           [this] { return fleet::store_rank(m_context.members, m_self, base::boot_clock::now()); },
           [this](bool is_silent) {
               on_store_contact_changed(is_silent);
           }}),
      m_relay(m_context, m_self, m_store,
              [this](std::uint64_t era) {
                  for (auto* table : {&m_operator_rows, &m_target_rows, &m_host_rows}) {
                      table->on_era(era);
                  }
              }),
      m_operator_rows(loop, m_relay, {m_formats.operator_table, operator_poll_wait, {}},
                      [this](const std::vector<rows::row>& changes) { on_operator_rows(changes); }),
      m_target_rows(loop, m_relay,
                    {m_formats.target_table,
                     {},
                     target_poll_interval,
                     initial_backoff,
                     max_backoff,
                     [this](const rows::row& before, const rows::row& after) {
                         return is_liveness_report(m_formats, before, after);
                     }},
                    [this](const std::vector<rows::row>& changes) { on_target_rows(changes); }),
      m_host_rows(loop, m_relay, {m_formats.host_table, host_poll_wait, {}},
                  [this](const std::vector<rows::row>& changes) { on_host_rows(changes); }),
      m_evidence(loop, m_store, m_context.random,
                 {m_formats.evidence_table,
                  m_settings.host.value() + "/" + std::to_string(m_self.incarnation.value()),
                  [this] { return fleet::possible_host_count(m_context.members); },
                  [this](const std::vector<fleet::notice>& stored) {
                      apply_evidence(m_context, stored, base::boot_clock::now());
                      check_ready();
                  }}),
      m_peers(m_context, m_self,
              {{m_formats.operator_table, &m_operator_rows},
               {m_formats.target_table, &m_target_rows},
               {m_formats.host_table, &m_host_rows}},
              [this](const std::shared_ptr<http::exchange>& request) {
                  m_request_relay.receive(request);
              }),
      m_admin(loop, m_metrics,
              {[this] { return dump(); }, [this] { return is_ready(); },
               [this] {
                   refresh_metrics();
               }})
{
    m_context.random.seed(m_self.incarnation.value());
    m_registry.regions = m_settings.regions;
    m_context.members.self = m_settings.host;
    m_context.members.own_domain = m_settings.failure_domain;
    m_context.spread = [this] {
        m_peers.spread();
    };
    m_context.keep_evidence = [this](const fleet::notice& made, bool is_confirmed) {
        m_evidence.keep(made, is_confirmed);
    };
    m_context.clear_evidence = [this](const fleet::notice& cleared,
                                      crash_evidence::keep_clearance kept) {
        m_evidence.clear(cleared, kept);
    };
    m_context.check_target = [this](const base::target_id& target, const std::string& address,
                                    std::function<void(retries::liveness)> done) {
        m_checks.start(target, address, std::move(done));
    };
    m_context.crashes.self = m_settings.host.value();
    m_context.update_reach = [this] {
        m_reach_watch.update();
    };
    m_context.relay = [this](const std::shared_ptr<http::exchange>& exchange,
                             const routing::route& route, const routing::account* account) {
        return m_request_relay.take_over(exchange, route, account);
    };
    m_context.on_store_contact_at_peer = [this] {
        m_store.on_peer_contact();
    };
    m_context.on_change_at_peer = [this](const std::string& table, std::uint64_t version) {
        m_store.on_change_at_peer(table, version);
    };
    m_context.borrow = [this](const base::account_id& account, std::function<void()> done) {
        return m_peers.borrow(account, std::move(done));
    };
}

host_app::~host_app() = default;

base::status host_app::start()
{
    m_started = base::boot_clock::now();
    const base::status listening = listen();
    if (!base::is_ok(listening)) {
        return listening;
    }
    const base::status peers = m_peers.start();
    if (!base::is_ok(peers)) {
        return peers;
    }
    m_operator_rows.start();
    m_target_rows.start();
    m_host_rows.start();
    m_evidence.start();
    register_host();
    housekeep();
    telemetry::log_event(severity::info, "started",
                         {{"host", m_settings.host.value()},
                          {"failure_domain", m_settings.failure_domain.value()},
                          {"address", m_settings.entry_address},
                          {"incarnation", m_self.incarnation.value()}});
    return {};
}

void host_app::register_host()
{
    m_registered_row = fleet::encode(m_self);
    m_registration_check_due.reset();
    m_loop.cancel(m_registration_retry);
    m_registration_retry = 0;
    m_registration = m_store.write(
        m_formats.host_table, m_settings.host.value(), m_registered_row,
        [this](const base::status& written) {
            if (base::is_ok(written)) {
                m_registration_check_due = base::boot_clock::now() + registration_check_interval;
            }
            if (base::is_ok(written) || m_context.is_leaving) {
                return;
            }
            telemetry::log_event(severity::warning, "host_not_registered",
                                 {{"cause", base::error_of(written).detail}});
            m_registration_retry = m_loop.schedule(
                base::boot_clock::now() + registration_retry_delay, [this] { register_host(); });
        });
}

void host_app::check_registration()
{
    const rows::table_replica& replica = m_host_rows.replica();
    const base::time_point now = base::boot_clock::now();
    const std::uint64_t checked = std::exchange(m_registration_era, replica.era);
    const bool is_new_era = checked != 0 && checked != replica.era;
    const bool is_due = m_registration_check_due.has_value() && now >= *m_registration_check_due &&
                        m_host_rows.is_loaded() && m_host_rows.is_store_reachable();
    if (is_new_era) {
        m_evidence.on_new_era();
    }
    if ((!is_new_era && !is_due) || m_context.is_leaving) {
        return;
    }
    if (is_due) {
        m_registration_check_due = now + registration_check_interval;
    }
    const auto row = replica.rows.find(m_settings.host.value());
    if (row == replica.rows.end() || row->second.value != m_registered_row) {
        register_host();
    }
}

void host_app::check_ready()
{
    if (m_self.state != fleet::member_state::starting || m_context.routes == nullptr) {
        return;
    }
    const bool are_tables_loaded =
        m_target_rows.is_loaded() && m_host_rows.is_loaded() && m_evidence.is_loaded();
    if (!are_tables_loaded && base::boot_clock::now() < m_started + max_readiness_delay) {
        return;
    }
    m_self.state = fleet::member_state::ready;
    telemetry::log_event(severity::info, "ready",
                         {{"config", m_context.routes->version},
                          {"targets", static_cast<std::uint64_t>(m_registry.targets.size())},
                          {"informed", are_tables_loaded}});
    m_peers.announce();
}

void host_app::on_operator_rows(const std::vector<rows::row>& changes)
{
    bool is_drain_changed = false;
    for (const rows::row& change : changes) {
        if (change.key == m_formats.config_key) {
            apply_config(change);
        } else {
            is_drain_changed = apply_drain(change) || is_drain_changed;
        }
    }
    if (is_drain_changed) {
        update_targets();
    }
    m_peers.on_rows_changed(m_formats.operator_table);
}

void host_app::apply_config(const rows::row& change)
{
    if (change.removed) {
        telemetry::log_event(severity::warning, "config_row_removed", {});
        return;
    }
    auto parsed = m_formats.parse_routes(change.value);
    if (!base::is_ok(parsed)) {
        telemetry::log_event(severity::error, "config_unreadable",
                             {{"cause", base::error_of(parsed).detail}});
        return;
    }
    const std::uint64_t version = base::value_of(parsed).version;
    const std::uint64_t known = config_version();
    if (version <= known) {
        telemetry::log_event(severity::warning, "config_not_newer",
                             {{"version", version}, {"known", known}});
        return;
    }
    m_context.routes =
        std::make_shared<const routing::route_table>(std::move(base::value_of(parsed)));
    telemetry::log_event(
        severity::info, "config_in_force",
        {{"version", version},
         {"before", known},
         {"row", change.version},
         {"accounts", static_cast<std::uint64_t>(m_context.routes->accounts.size())}});
    if (m_context.routes->limits.idle_timeout.count() > 0) {
        m_entry->set_request_timeout(m_context.routes->limits.idle_timeout + idle_timeout_margin);
    }
    make_pools();
    update_targets();
    update_shares();
    check_ready();
}

bool host_app::apply_drain(const rows::row& change)
{
    const auto domain = m_formats.drained_domain(change.key);
    if (!domain.has_value()) {
        return false;
    }
    if (!change.removed) {
        m_pending_drain_ends.erase(*domain);
        const bool is_new = m_drained.insert(*domain).second;
        if (is_new) {
            telemetry::log_event(severity::info, "failure_domain_drained",
                                 {{"failure_domain", domain->value()}, {"drained", true}});
        }
        return is_new;
    }
    if (!m_drained.contains(*domain)) {
        return false;
    }
    // A store that has just returned may have lost the row, which the operator then writes again.
    const base::time_point end = m_operator_rows.store_reachable_since() + m_settings.reappear_time;
    if (base::boot_clock::now() < end) {
        m_pending_drain_ends[*domain] = end;
        return false;
    }
    end_drain(*domain);
    return true;
}

void host_app::end_drain(const base::failure_domain_id& domain)
{
    m_drained.erase(domain);
    mark_cold(domain);
    telemetry::log_event(severity::info, "failure_domain_drained",
                         {{"failure_domain", domain.value()}, {"drained", false}});
}

bool host_app::end_due_drains(base::time_point now)
{
    const auto pending = m_pending_drain_ends;
    std::erase_if(m_pending_drain_ends, [now](const auto& one) { return now >= one.second; });
    for (const auto& [domain, end] : pending) {
        if (now >= end) {
            end_drain(domain);
        }
    }
    return pending.size() != m_pending_drain_ends.size();
}

void host_app::mark_cold(const base::failure_domain_id& domain)
{
    const base::time_point now = base::boot_clock::now();
    for (auto& [service, pool] : m_context.pools) {
        for (pooled_target& target : pool.targets) {
            if (target.entry.failure_domain == domain) {
                target.cold_until = std::max(target.cold_until, now + pool.cold_time);
            }
        }
    }
}

void host_app::on_target_rows(const std::vector<rows::row>& changes)
{
    const registry_view view{base::boot_clock::now(), m_target_rows.store_reachable_since(),
                             m_settings.reappear_time, m_target_rows.store_restored_at()};
    if (apply_rows(m_registry, m_formats, changes, view)) {
        update_targets();
    }
    // Other hosts decide for themselves what a change means, also if it changes nothing here.
    if (std::any_of(changes.begin(), changes.end(), rows::is_news)) {
        m_peers.on_rows_changed(m_formats.target_table);
    }
    check_ready();
}

void host_app::on_host_rows(const std::vector<rows::row>& changes)
{
    for (const rows::row& change : changes) {
        if (change.removed) {
            remove_unlisted(base::host_id(change.key));
            continue;
        }
        const auto listed = fleet::parse_member(change.value);
        if (!base::is_ok(listed)) {
            telemetry::log_event(severity::warning, "host_row_unreadable",
                                 {{"host", change.key}, {"cause", base::error_of(listed).detail}});
            continue;
        }
        if (base::value_of(listed).id.value() != change.key) {
            telemetry::log_event(severity::warning, "host_row_unreadable",
                                 {{"host", change.key}, {"cause", "the row names another host"}});
            continue;
        }
        fleet::add_listed(m_context.members, base::value_of(listed));
    }
    check_registration();
    update_budgets(m_context);
    update_shares();
    check_ready();
    m_peers.on_rows_changed(m_formats.host_table);
}

void host_app::remove_unlisted(const base::host_id& host)
{
    if (fleet::remove_unlisted(m_context.members, host, base::boot_clock::now())) {
        telemetry::log_event(severity::info, "host_left", {{"host", host.value()}});
    }
}

void host_app::make_pools()
{
    // The pool of a service that is no longer named stays for requests in progress.
    for (const auto& [id, service] : m_context.routes->services) {
        pool_of(m_context, id);
    }
    for (const auto& [host, routes] : m_context.routes->hosts) {
        for (const routing::route& route : routes) {
            for (const routing::weighted_service& part : route.services) {
                pool_of(m_context, part.service);
            }
        }
    }
}

void host_app::update_targets()
{
    const base::time_point now = base::boot_clock::now();
    std::map<base::service_id, std::vector<target_entry>> by_service;
    for (const auto& [id, pool] : m_context.pools) {
        by_service[id];
    }
    // Services that no configuration has named are ignored: their number and the length of their
    // names have no bound.
    for (const auto& [id, entry] : m_registry.targets) {
        const auto service = by_service.find(entry.service);
        if (service != by_service.end()) {
            service->second.push_back(entry);
        }
    }
    for (const auto& [service, entries] : by_service) {
        target_pool& pool = pool_of(m_context, service);
        if (m_context.routes != nullptr) {
            const auto known = m_context.routes->services.find(service);
            const bool is_known = known != m_context.routes->services.end();
            pool.cold_rate = is_known ? known->second.cold_rate : 0;
            pool.cold_time = is_known ? known->second.cold_time : pool.cold_time;
        }
        set_targets(
            pool, entries,
            [this](const base::failure_domain_id& domain) { return m_drained.contains(domain); },
            m_settings.regions, m_settings.failure_domain, now);
    }
}

void host_app::update_shares()
{
    if (m_context.routes == nullptr) {
        return;
    }
    const base::time_point now = base::boot_clock::now();
    const bool is_first = !m_has_shares && m_host_rows.is_loaded();
    m_has_shares = m_has_shares || is_first;
    // Until the hosts are known, at least one host per failure domain is assumed.
    m_sharing_hosts =
        std::max(fleet::possible_host_count(m_context.members), m_settings.regions.size());
    for (const routing::account& account : m_context.routes->accounts) {
        const limits::fleet_limit limit =
            limits::with_overrun({account.rate, account.burst}, m_settings.quota_overrun);
        m_context.limits[account.id] = limit;
        const std::size_t owner_count = limits::share_owner_count(limit, m_sharing_hosts);
        const bool is_owner =
            fleet::is_among_first(m_context.members, account.id.value(), owner_count);
        limits::fleet_share& share = m_context.shares[account.id];
        limits::set_limit(share, limit, is_owner ? owner_count : 0, now);
        if (is_first) {
            limits::refill_from(share, m_started);
        }
    }
}

void host_app::on_reach_changed()
{
    const bool is_cut = m_context.reach.is_cut;
    m_self.reaches_targets = !is_cut;
    m_peers.spread();
    telemetry::log_event(
        severity::warning, is_cut ? "targets_cut" : "targets_reached",
        {{"requests", static_cast<std::uint64_t>(m_context.tasks.size())},
         {"rounds_to_recover", static_cast<std::uint64_t>(m_context.reach.rounds_to_recover)}});
    m_metrics
        .counter("snipeshore_target_cuts_total",
                 "Times that this host lost or regained its paths to all targets.",
                 {{"change", is_cut ? "lost" : "regained"}})
        .Increment();
    if (!is_cut) {
        for (auto& [service, pool] : m_context.pools) {
            forget_failures(pool);
        }
        return;
    }
    const std::unordered_set<std::shared_ptr<forward_task>> running = m_context.tasks;
    for (const std::shared_ptr<forward_task>& task : running) {
        task->on_targets_cut();
    }
}

void host_app::on_store_contact_changed(bool is_silent)
{
    if (is_silent) {
        m_peers.on_store_lost();
        return;
    }
    if (m_registration_retry != 0) {
        register_host();
    }
    if (fleet::store_rank(m_context.members, m_self, base::boot_clock::now()) == 0) {
        m_peers.spread(); // Other hosts then find out at once that the store is back.
    }
}

void host_app::housekeep()
{
    const base::time_point now = base::boot_clock::now();
    const base::duration delay = now - m_housekeeping_due;
    if (m_housekeeping_due != base::time_point{}) {
        m_metrics
            .latency("snipeshore_loop_delay_seconds",
                     "Delay of a periodic timer of the event loop past its due time.")
            .Observe(std::chrono::duration<double>(delay).count());
    }
    if (m_housekeeping_due != base::time_point{} && delay > housekeeping_interval) {
        telemetry::log_event(
            severity::warning, "loop_delayed",
            {{"late_ms", std::chrono::duration<double, std::milli>(delay).count()}});
    }
    const bool has_removed = remove_expired(m_registry, now);
    const bool has_used = use_held(m_registry, now);
    if (end_due_drains(now) || has_used || has_removed) {
        update_targets();
    }
    remove_expired_hosts();
    check_given_up(m_context, m_registry);
    crash_evidence::drop_expired(m_context.crashes, now);
    fleet::drop_expired(m_context.notices, now);
    m_evidence.drop_expired(now);
    update_limit_shares(m_context, now);
    check_registration();
    update_budgets(m_context);
    const std::size_t hosts =
        std::max(fleet::possible_host_count(m_context.members), m_settings.regions.size());
    if (hosts != m_sharing_hosts) {
        update_shares();
    }
    check_ready();
    m_housekeeping_due = now + housekeeping_interval;
    m_loop.schedule(m_housekeeping_due, [this] { housekeep(); });
}

void host_app::remove_expired_hosts()
{
    const base::time_point now = base::boot_clock::now();
    for (const base::host_id& host : fleet::remove_unlisted(m_context.members, now)) {
        telemetry::log_event(severity::info, "host_left", {{"host", host.value()}});
    }
    std::erase_if(m_context.members.members, [&](const auto& entry) {
        const base::time_point since =
            entry.second.has_contact ? entry.second.last_contact : m_started;
        return now - since > host_retention;
    });
}

void host_app::stop()
{
    if (m_context.is_leaving) {
        return;
    }
    m_context.is_leaving = true;
    m_self.state = fleet::member_state::leaving;
    telemetry::log_event(
        severity::info, "stopping",
        {{"requests", static_cast<std::uint64_t>(m_context.tasks.size())},
         {"connections", static_cast<std::uint64_t>(m_entry->open_connections())}});
    m_peers.announce();
    const base::time_point now = base::boot_clock::now();
    m_stop_deadline = now + m_settings.stop_deadline;
    m_context.stop_deadline = m_stop_deadline;
    m_loop.schedule(now + m_settings.leave_delay, [this] { drain(); });
    m_loop.schedule(m_stop_deadline, [this] { finish_stop(); });
}

void host_app::reload(const host_settings& settings)
{
    m_settings.seeds = settings.seeds;
    m_settings.retry_ratio = settings.retry_ratio;
    m_settings.retry_extra = settings.retry_extra;
    m_settings.quota_overrun = settings.quota_overrun;
    m_settings.leave_delay = settings.leave_delay;
    m_settings.stop_deadline = settings.stop_deadline;
    update_shares();
    telemetry::log_event(
        severity::info, "settings_reloaded",
        {{"seeds", static_cast<std::uint64_t>(m_settings.seeds.size())},
         {"addresses_changed", settings.entry_address != m_settings.entry_address ||
                                   settings.control_address != m_settings.control_address}});
}

void host_app::drain()
{
    m_context.is_closing = true;
    m_entry->drain([this] { finish_stop_when_idle(); });
}

void host_app::finish_stop_when_idle()
{
    if (m_context.tasks.empty() || base::boot_clock::now() >= m_stop_deadline) {
        finish_stop();
        return;
    }
    m_loop.schedule(base::boot_clock::now() + idle_check_interval,
                    [this] { finish_stop_when_idle(); });
}

void host_app::finish_stop()
{
    if (m_has_stopped) {
        return;
    }
    m_has_stopped = true;
    const std::unordered_set<std::shared_ptr<forward_task>> running = m_context.tasks;
    for (const std::shared_ptr<forward_task>& task : running) {
        task->end_by_stop();
    }
    m_request_relay.end_by_stop();
    m_registration = m_store.write(m_formats.host_table, m_settings.host.value(), std::nullopt,
                                   [](const base::status&) {});
    m_loop.schedule(base::boot_clock::now() + deregistration_delay,
                    [this] { stop_loop_when_idle(); });
}

void host_app::stop_loop_when_idle()
{
    // A caller may have sent a request before it noticed that its connection is closing.
    const bool is_busy =
        !m_context.tasks.empty() || !m_request_relay.is_idle() || m_entry->is_delivering();
    if (is_busy && base::boot_clock::now() < m_stop_deadline) {
        m_loop.schedule(base::boot_clock::now() + idle_check_interval,
                        [this] { stop_loop_when_idle(); });
        return;
    }
    telemetry::log_event(severity::info, "stopped",
                         {{"requests_cut", static_cast<std::uint64_t>(m_context.tasks.size())},
                          {"undelivered", m_entry->is_delivering()}});
    m_loop.stop();
}

bool host_app::is_ready() const
{
    return m_self.state == fleet::member_state::ready;
}

std::uint64_t host_app::config_version() const
{
    return m_context.routes == nullptr ? 0 : m_context.routes->version;
}

std::size_t host_app::known_targets() const
{
    return m_registry.targets.size();
}

} // namespace snipeshore::apps
