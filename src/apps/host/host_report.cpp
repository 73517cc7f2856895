#include "apps/host/forward_task.h"
#include "apps/host/host_app.h"
#include "fleet/members.h"
#include "http/server.h"

#include "prediction/service_times.h"
#include "signals/target_rest.h"
#include <nlohmann/json.hpp>
#include <prometheus/gauge.h>

#include <algorithm>
#include <chrono>

// State dump and metrics of host_app.
namespace snipeshore::apps {

namespace {

/// Null if there is no such time.
nlohmann::json age_ms(const std::optional<base::time_point>& since)
{
    if (!since.has_value()) {
        return nullptr;
    }
    return base::to_ms(base::boot_clock::now() - *since);
}

} // namespace

nlohmann::json host_app::dump() const
{
    nlohmann::json all;
    all["host"] = m_settings.host.value();
    all["incarnation"] = m_self.incarnation.value();
    all["state"] = static_cast<int>(m_self.state);
    all["closing"] = m_context.is_closing;
    all["reaches_targets"] = m_self.reaches_targets;
    all["config_version"] = config_version();
    all["requests"] = m_context.tasks.size();
    all["suspects"] = m_context.crashes.suspects.size();
    all["given_up_runs"] = m_context.crashes.given_up.size;
    for (const auto& [table, follower] : {std::pair(m_formats.operator_table, &m_operator_rows),
                                          std::pair(m_formats.target_table, &m_target_rows),
                                          std::pair(m_formats.host_table, &m_host_rows)}) {
        all["tables"][table] = {{"era", follower->replica().era},
                                {"version", follower->replica().version},
                                {"store_reachable", follower->is_store_reachable()},
                                {"contact_age_ms", age_ms(follower->store_reachable_since())},
                                {"response_age_ms", age_ms(follower->last_response())},
                                {"call_age_ms", age_ms(follower->call_sent_at())}};
    }
    for (const auto& [id, known] : m_context.members.members) {
        all["hosts"][id.value()] = {
            {"state", static_cast<int>(known.info.state)},
            {"reaches_targets", known.info.reaches_targets},
            {"live", fleet::is_live(m_context.members, known, base::boot_clock::now())}};
    }
    for (const auto& [service, pool] : m_context.pools) {
        nlohmann::json& targets = all["services"][service.value()]["targets"];
        for (const pooled_target& target : pool.targets) {
            targets[target.entry.id.value()] = {
                {"address", target.entry.address},
                {"running", target.running},
                {"leaving", target.entry.is_leaving},
                {"says_leaving", target.signals.is_leaving},
                {"rests",
                 signals::return_time(target.signals, base::boot_clock::now()).has_value()},
                {"limit_per_s", target.limit.rate.has_value() ? nlohmann::json(*target.limit.rate)
                                                              : nlohmann::json()},
                {"own_limit_per_s", target.limit.own_rate},
                {"service_ms",
                 std::chrono::duration<double, std::milli>(
                     prediction::average_time(pool.times, target.history, base::boot_clock::now()))
                     .count()}};
        }
    }
    return all;
}

void host_app::refresh_metrics()
{
    const auto set = [this](const std::string& name, const std::string& help, double value) {
        m_metrics.gauge(name, help).Set(value);
    };
    const base::time_point now = base::boot_clock::now();
    set("snipeshore_requests_running", "Requests in progress.",
        static_cast<double>(m_context.tasks.size()));
    set("snipeshore_caller_connections", "Open connections of callers.",
        static_cast<double>(m_entry->open_connections()));
    set("snipeshore_lingering_connections",
        "Connections that this host has closed and their callers have not.",
        static_cast<double>(m_entry->lingering_count()));
    set("snipeshore_response_buffer_bytes", "Bytes of responses held for callers who read slowly.",
        static_cast<double>(m_context.buffers.used));
    set("snipeshore_config_version", "Version of the configuration in force.",
        static_cast<double>(config_version()));
    set("snipeshore_targets_known", "Registered targets.",
        static_cast<double>(m_registry.targets.size()));
    set("snipeshore_hosts_live", "Hosts with recent contact, excluding this one.",
        static_cast<double>(
            std::count_if(m_context.members.members.begin(), m_context.members.members.end(),
                          [this, now](const auto& entry) {
                              return fleet::is_live(m_context.members, entry.second, now);
                          })));
    set("snipeshore_suspects", "Fingerprints suspected of crashing targets.",
        static_cast<double>(m_context.crashes.suspects.size()));
    set("snipeshore_quarantined_requests", "Fingerprints that are not sent to targets now.",
        static_cast<double>(std::count_if(
            m_context.crashes.suspects.begin(), m_context.crashes.suspects.end(),
            [this, now](const auto& entry) {
                return crash_evidence::is_quarantined(m_context.crashes, entry.first, now);
            })));
    for (const auto& [account, share] : m_context.shares) {
        m_metrics
            .gauge("snipeshore_account_demand",
                   "Requests per second that ask for a token on this host.",
                   {{"account", account.value()}})
            .Set(share.demand);
        m_metrics
            .gauge("snipeshore_account_tokens",
                   "Requests of the account that this host may admit now.",
                   {{"account", account.value()}})
            .Set(share.tokens + share.granted_tokens);
    }
    for (const auto& [service, pool] : m_context.pools) {
        const auto set_home = [this, &service = service](const std::string& scope, double share,
                                                         double load) {
            const prometheus::Labels labels{{"service", service.value()}, {"scope", scope}};
            m_metrics
                .gauge("snipeshore_home_share",
                       "Factor on the fraction of the objects that stay at home, 0 to 1.", labels)
                .Set(share);
            m_metrics
                .gauge("snipeshore_home_load", "Requests per slot on the targets at home.", labels)
                .Set(load);
        };
        const auto set_limited = [this, &service = service](const std::string& name,
                                                            const std::string& help, double value) {
            m_metrics.gauge(name, help, {{"service", service.value()}}).Set(value);
        };
        double limit = 0;
        double own_limit = 0;
        std::size_t limited = 0;
        for (const pooled_target& target : pool.targets) {
            limited += target.limit.rate.has_value() ? 1 : 0;
            limit += target.limit.rate.value_or(0);
            own_limit += target.limit.own_rate;
        }
        set_limited("snipeshore_limited_targets", "Targets that name a limit.",
                    static_cast<double>(limited));
        set_limited("snipeshore_target_limit_per_second",
                    "Requests per second that targets with a limit take from all hosts.", limit);
        set_limited("snipeshore_own_target_limit_per_second",
                    "Requests per second that this host may send to targets with a limit.",
                    own_limit);
        set_home("domain", pool.layout.home.domain, pool.home_load.domain);
        set_home("region", pool.layout.home.region, pool.home_load.region);
    }
    set("snipeshore_reaches_targets", "Whether this host can open connections to targets.",
        m_self.reaches_targets ? 1 : 0);
    for (const auto& [table, follower] : {std::pair(m_formats.operator_table, &m_operator_rows),
                                          std::pair(m_formats.target_table, &m_target_rows),
                                          std::pair(m_formats.host_table, &m_host_rows)}) {
        const auto set_age = [&, &table = table](const std::string& name, const std::string& help,
                                                 std::optional<base::time_point> since) {
            const base::duration age = since.has_value() ? now - *since : base::duration{};
            m_metrics.gauge(name, help, {{"table", table}})
                .Set(std::chrono::duration<double>(age).count());
        };
        set_age("snipeshore_table_response_age_seconds",
                "Time since the last response of the store, or of the host that reads it, for this "
                "table.",
                follower->last_response());
        set_age("snipeshore_table_call_age_seconds",
                "Age of the call for changes of this table that is in flight.",
                follower->call_sent_at());
    }
    set("snipeshore_store_in_touch", "Whether the last call to the operators' table succeeded.",
        m_operator_rows.is_store_reachable() ? 1 : 0);
}

} // namespace snipeshore::apps
