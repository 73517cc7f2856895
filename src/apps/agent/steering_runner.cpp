#include "apps/agent/steering_runner.h"

#include "apps/common/weight_rows.h"
#include "steering/decide.h"
#include "steering/lookup.h"
#include "steering/missing_loads.h"
#include "steering/plan.h"
#include "telemetry/event_log.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace snipeshore::apps {

namespace {

/// Time constant of the exponential smoothing of demand. Reports arrive about once per second, and
/// each counts only few look-ups.
constexpr std::chrono::seconds demand_smoothing{3};

/// Time after the start within which the records of members and their entry processes arrive.
constexpr std::chrono::seconds start_grace_period{3};

double seconds_of(base::duration time)
{
    return std::chrono::duration<double>(time).count();
}

bool has_drain(const config::drains_document& drains, config::drain_kind kind,
               const std::string& id)
{
    return std::any_of(drains.drains.begin(), drains.drains.end(),
                       [&](const auto& drain) { return drain.kind == kind && drain.id == id; });
}

bool are_hosts_drained(const config::document& document, const config::drains_document& drains,
                       const base::failure_domain_id& domain)
{
    bool has_hosts = false;
    for (const config::host& host : document.hosts) {
        if (host.failure_domain != domain) {
            continue;
        }
        has_hosts = true;
        if (!has_drain(drains, config::drain_kind::host, host.id.value())) {
            return false;
        }
    }
    return has_hosts;
}

bool is_drained(const config::document& document, const config::drains_document& drains,
                const config::failure_domain& domain)
{
    return has_drain(drains, config::drain_kind::failure_domain, domain.id.value()) ||
           has_drain(drains, config::drain_kind::region, domain.region.value()) ||
           are_hosts_drained(document, drains, domain.id);
}

} // namespace

void steering_runner::set_document(const config::document& document)
{
    auto made = steering::make_plan(document);
    if (!base::is_ok(made)) {
        telemetry::log_event(telemetry::severity::error, "plan_rejected",
                             {{"cause", base::error_of(made).detail}});
        return;
    }
    steering::plan& plan = base::value_of(made);
    if (m_plan && m_has_decided) {
        m_state = steering::migrate_state(*m_plan, plan, m_state);
    }
    m_plan = std::move(plan);
    m_document = document;
    m_document_changed = true;
    // Decision records refer to plan entries by index, and the indices differ in the new plan.
    m_waiting.clear();
    m_changes.clear();
}

void steering_runner::on_report(const inner::process_report& report, bool foreign_weights,
                                base::time_point now)
{
    const bool can_restore = m_plan && !report.weights.empty();
    if (foreign_weights && can_restore) {
        restore(report.weights, now);
    }
    // After a restore the lookup reports its old revision until it has received the next weights.
    const bool is_held = foreign_weights && !can_restore && !m_is_restored;
    if (std::exchange(m_is_held, is_held) != is_held) {
        telemetry::log_event(telemetry::severity::warning,
                             is_held ? "steering_held" : "steering_resumed", {});
    }
    update_demand(report.demand, now);
}

void steering_runner::restore(const std::vector<inner::site_weights>& weights, base::time_point now)
{
    steering::weight_table table = steering::make_weight_table(*m_plan);
    set_rows(table, *m_plan, weights);
    m_state = steering::restore_state(*m_plan, table, now);
    m_has_decided = true;
    m_is_restored = true;
    // Forces a new revision even if no weight changes: the lookup needs one of this agent.
    m_weights.clear();
    telemetry::log_event(telemetry::severity::info, "steering_restored", {});
}

void steering_runner::update_demand(const std::vector<inner::row_demand>& demand,
                                    base::time_point now)
{
    const double smoothing_factor =
        m_demand_updated_at
            ? 1 - std::exp(-seconds_of(now - *m_demand_updated_at) / seconds_of(demand_smoothing))
            : 1.0;
    m_demand_updated_at = now;
    for (auto& [row, rate] : m_demand) {
        rate *= 1 - smoothing_factor;
    }
    for (const inner::row_demand& row : demand) {
        if (std::isfinite(row.rate) && row.rate >= 0) {
            m_demand[{row.site, row.service}] += smoothing_factor * row.rate;
        }
    }
}

bool steering_runner::tick(const std::vector<inner::host_record>& members,
                           const std::set<base::failure_domain_id>& reachable,
                           const config::drains_document& drains, base::time_point now)
{
    if (!m_first_tick) {
        m_first_tick = now;
    }
    if (!m_plan || m_is_held || !may_start(members, now) ||
        (now < m_next_decision && !m_document_changed)) {
        return false;
    }
    m_document_changed = false;
    m_next_decision = now + m_plan->settings.interval;
    update_health(members, reachable, now);
    update_drains(drains, now);
    auto inputs = make_inputs(now);
    steering::fill_missing_loads(*m_plan, m_state, inputs, now);
    auto decision = steering::decide(*m_plan, inputs, m_state, now);
    m_state = std::move(decision.state);
    m_has_decided = true;
    std::vector<steering::decision_record> changes;
    m_waiting.clear();
    for (const steering::decision_record& record : decision.records) {
        (record.kind == steering::record_kind::waiting ? m_waiting : changes).push_back(record);
    }
    if (!changes.empty()) {
        m_changes = std::move(changes);
    }
    auto weights = published_weights();
    if (weights == m_weights) {
        return false;
    }
    m_weights = std::move(weights);
    return true;
}

std::vector<steering::decision_record> steering_runner::records() const
{
    auto all = m_changes;
    all.insert(all.end(), m_waiting.begin(), m_waiting.end());
    return all;
}

bool steering_runner::may_start(const std::vector<inner::host_record>& members,
                                base::time_point now) const
{
    // This host is one of the members.
    return m_has_decided || members.size() > 1 || now - *m_first_tick >= start_grace_period;
}

void steering_runner::update_health(const std::vector<inner::host_record>& members,
                                    const std::set<base::failure_domain_id>& reachable,
                                    base::time_point now)
{
    std::set<base::failure_domain_id> serving;
    for (const inner::host_record& record : members) {
        if (record.status == inner::host_status::live && record.entry_incarnation.value() != 0 &&
            reachable.contains(record.failure_domain)) {
            serving.insert(record.failure_domain);
        }
    }
    const bool is_starting = now - *m_first_tick < start_grace_period;
    for (const steering::plan_domain& domain : m_plan->domains) {
        auto& health = m_health[domain.id];
        health.taken = now;
        if (!serving.contains(domain.id)) {
            if (!is_starting) {
                health.health = steering::domain_health::lost;
                health.healthy_since.reset();
            }
            continue;
        }
        if (health.health == steering::domain_health::lost) {
            health.healthy_since = now;
        }
        health.health = steering::domain_health::healthy;
    }
}

void steering_runner::update_drains(const config::drains_document& drains, base::time_point now)
{
    // The drains document has no deadline. Traffic is first moved away within the shift caps; what
    // cannot be placed elsewhere by the planned time is refused. A decider that has just started
    // has not assigned any traffic there yet.
    const base::time_point due = m_has_decided ? now + steering::drain_lead_time(*m_plan) : now;
    for (const config::failure_domain& domain : m_document.failure_domains) {
        if (is_drained(m_document, drains, domain)) {
            m_drain_deadlines.emplace(domain.id, due);
        } else {
            m_drain_deadlines.erase(domain.id);
        }
    }
}

steering::inputs steering_runner::make_inputs(base::time_point now) const
{
    steering::inputs inputs;
    if (m_demand_updated_at && now - *m_demand_updated_at <= m_plan->settings.stale_after) {
        inputs.demand_taken = *m_demand_updated_at;
        for (const steering::plan_site& site : m_plan->sites) {
            for (const steering::plan_service& service : m_plan->services) {
                const auto found = m_demand.find({site.id.value(), service.id.value()});
                inputs.demand.push_back(found == m_demand.end() ? 0 : found->second);
            }
        }
    }
    for (std::size_t index = 0; index < m_plan->domains.size(); ++index) {
        const auto& id = m_plan->domains[index].id;
        inputs.domain_health.push_back(m_health.at(id));
        if (const auto drain = m_drain_deadlines.find(id); drain != m_drain_deadlines.end()) {
            inputs.drains.push_back({static_cast<std::uint16_t>(index), drain->second});
        }
    }
    return inputs;
}

std::vector<inner::site_weights> steering_runner::published_weights() const
{
    std::vector<inner::site_weights> rows;
    std::size_t cell = 0;
    for (const steering::plan_site& site : m_plan->sites) {
        for (const steering::plan_service& service : m_plan->services) {
            inner::site_weights row{site.id.value(), service.id.value(), {}, {}, {}};
            for (const steering::plan_domain& domain : m_plan->domains) {
                const std::uint32_t weight = m_state.weights.weights[cell];
                const std::uint32_t refused = m_state.weights.refused[cell];
                ++cell;
                if (weight + refused > 0) {
                    row.failure_domains.push_back(domain.id.value());
                    row.weights.push_back(weight);
                    row.refused.push_back(refused);
                }
            }
            rows.push_back(std::move(row));
        }
    }
    return rows;
}

} // namespace snipeshore::apps
