#include "apps/entry/dump.h"

#include "apps/common/fleet_state.h"
#include "apps/entry/crash_monitor.h"
#include "apps/entry/entry_services.h"
#include "apps/entry/share_manager.h"
#include "apps/entry/ticket_service.h"
#include "balancing/types/choice_record.h"
#include "base/error_response.h"
#include "telemetry/metrics.h"

#include <nlohmann/json.hpp>
#include <prometheus/gauge.h>

#include <algorithm>
#include <chrono>

namespace snipeshore::apps {

namespace {

using json = nlohmann::json;

std::int64_t age_ms(base::time_point at, base::time_point now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - at).count();
}

json dump_versions(const fleet_state& fleet)
{
    return {{"config", fleet.config_version},
            {"keys", fleet.keys_version},
            {"drains", fleet.drains_version}};
}

json dump_members(const fleet_state& fleet)
{
    json members = json::array();
    for (const inner::host_record& record : fleet.members) {
        members.push_back({{"host", record.host.value()},
                           {"failure_domain", record.failure_domain.value()},
                           {"status", static_cast<int>(record.status)},
                           {"entry_incarnation", record.entry_incarnation.value()},
                           {"entry_inner_address", record.entry_inner_address}});
    }
    return members;
}

json dump_target(const service_pool& pool, std::size_t index, base::time_point now)
{
    const balancing::target_state& target = pool.balancer.targets[index];
    return {{"id", target.info.id.value()},
            {"address", pool.addresses[index]},
            {"present", target.present},
            {"in_subset", target.in_subset},
            {"leaving", target.info.leaving},
            {"in_flight", target.in_flight},
            {"latency_ms", target.latency_ms},
            {"error_rate", target.error_rate},
            {"ejected", target.phase == balancing::ejection_phase::ejected},
            {"ejected_for_ms", std::max<std::int64_t>(0, -age_ms(target.ejected_until, now))}};
}

json dump_choices(const service_pool& pool, base::time_point now)
{
    json records = json::array();
    for (const balancing::choice_record& record : pool.balancer.recent) {
        if (record.considered == 0) {
            continue;
        }
        records.push_back({{"age_ms", age_ms(record.at, now)},
                           {"reason", balancing::to_string(record.reason)},
                           {"target", record.target},
                           {"considered", record.considered},
                           {"cost_ms", record.cost_ms}});
    }
    return records;
}

json dump_pools(const entry_services& services, base::time_point now)
{
    json pools = json::object();
    for (const auto& [id, pool] : services.pools) {
        json targets = json::array();
        for (std::size_t index = 0; index < pool.balancer.targets.size(); ++index) {
            targets.push_back(dump_target(pool, index, now));
        }
        pools[id.value()] = {{"targets", std::move(targets)}, {"choices", dump_choices(pool, now)}};
    }
    return pools;
}

json dump_shares(const limits::share_ledger& ledger, base::time_point now)
{
    json accounts = json::object();
    for (const auto& [id, account] : ledger.accounts) {
        json loans = json::array();
        for (const limits::lender_state& lender : account.lenders) {
            if (lender.held.has_value()) {
                loans.push_back({{"lender", lender.lender.value()},
                                 {"rate", lender.held->rate},
                                 {"ends_in_ms", -age_ms(lender.held->ends, now)}});
            }
        }
        accounts[id.value()] = {{"own_rate", account.own.rate}, {"own_burst", account.own.burst},
                                {"tokens", account.tokens},     {"demand", account.demand},
                                {"waiting", account.waiting},   {"held_loans", std::move(loans)}};
    }
    return {{"accounts", std::move(accounts)},
            {"loans_granted", limits::stats_of(ledger).loans_granted},
            {"uses_full_share", limits::uses_full_share(ledger, now)}};
}

json dump_refusals(const refusal_log& refusals, base::time_point now)
{
    json records = json::array();
    for (const refusal_record& record : refusals.records) {
        records.push_back({{"age_ms", age_ms(record.at, now)},
                           {"request_id", record.request_id},
                           {"account", record.account},
                           {"service", record.service},
                           {"error", base::response_for(record.cause.kind).name},
                           {"detail", record.cause.detail}});
    }
    return records;
}

json dump_quarantine(const retries::crash_tracker& crashes)
{
    json suspects = json::array();
    for (const auto& [fingerprint, suspect] : crashes.suspects) {
        suspects.push_back({{"fingerprint", fingerprint}, {"crashes", suspect.crashes}});
    }
    return suspects;
}

} // namespace

nlohmann::json dump_entry(const entry_services& services, base::time_point last_agent_response)
{
    const base::time_point now = base::boot_clock::now();
    const fleet_state& fleet = services.fleet;
    const tickets::claim_registry& claims = services.tickets.claims();
    return {{"program", "snipeshore-entry"},
            {"host", services.identity.host.value()},
            {"failure_domain", services.identity.failure_domain.value()},
            {"versions", dump_versions(fleet)},
            {"agent_age_ms", age_ms(last_agent_response, now)},
            {"contact_age_ms", age_ms(fleet.last_contact, now)},
            {"keys", fleet.keys.accounts.size()},
            {"members", dump_members(fleet)},
            {"requests", services.tasks.size()},
            {"services", dump_pools(services, now)},
            {"shares", dump_shares(services.shares.ledger(), now)},
            {"tickets",
             {{"epoch", claims.epoch},
              {"claims", claims.current.size() + claims.previous.size()},
              {"kept_bytes", claims.cached_bytes_current + claims.cached_bytes_previous}}},
            {"suspects", dump_quarantine(services.crashes.crashes())},
            {"refusals", dump_refusals(services.refusals, now)}};
}

void refresh_entry_metrics(const entry_services& services, telemetry::metrics& metrics)
{
    const base::time_point now = base::boot_clock::now();
    const fleet_state& fleet = services.fleet;
    const auto set = [&](const char* name, const char* help, double value) {
        metrics.gauge(name, help).Set(value);
    };
    set("snipeshore_requests_in_progress", "Requests in progress.",
        static_cast<double>(services.tasks.size()));
    set("snipeshore_config_version", "Version of the configuration in force.",
        static_cast<double>(fleet.config_version));
    set("snipeshore_keys_version", "Version of the keys in force.",
        static_cast<double>(fleet.keys_version));
    set("snipeshore_contact_age_seconds",
        "Time since the agent's last contact with the store or another failure domain.",
        static_cast<double>(age_ms(fleet.last_contact, now)) / 1000.0);
    const limits::ledger_stats shares = limits::stats_of(services.shares.ledger());
    set("snipeshore_share_loans_held", "Share loans held.", static_cast<double>(shares.loans_held));
    set("snipeshore_share_loans_granted", "Share loans granted.",
        static_cast<double>(shares.loans_granted));
    set("snipeshore_share_waiting", "Requests waiting for a loan.",
        static_cast<double>(shares.waiting));
    set("snipeshore_suspects", "Fingerprints suspected of crashing targets.",
        static_cast<double>(services.crashes.crashes().suspects.size()));
    for (const auto& [id, account] : services.shares.ledger().accounts) {
        metrics
            .gauge("snipeshore_account_demand", "Estimated requests per second of an account.",
                   {{"account", id.value()}})
            .Set(account.demand);
    }
}

} // namespace snipeshore::apps
