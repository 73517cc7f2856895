#include "apps/agent/weights.h"

#include "steering/plan.h"
#include "steering/types/weight_table.h"

#include <algorithm>
#include <string>

namespace snipeshore::apps {

namespace {

bool has_drain(const config::drains_document& drains, config::drain_kind kind,
               const std::string& id)
{
    return std::any_of(drains.drains.begin(), drains.drains.end(),
                       [&](const auto& drain) { return drain.kind == kind && drain.id == id; });
}

bool is_domain_drained(const config::document& document, const config::drains_document& drains,
                       const base::failure_domain_id& domain)
{
    if (has_drain(drains, config::drain_kind::failure_domain, domain.value())) {
        return true;
    }
    return std::any_of(document.failure_domains.begin(), document.failure_domains.end(),
                       [&](const config::failure_domain& candidate) {
                           return candidate.id == domain &&
                                  has_drain(drains, config::drain_kind::region,
                                            candidate.region.value());
                       });
}

/// An entry uses the targets of its own failure domain only.
std::size_t chosen_domain(const steering::plan& plan, const steering::plan_site& site,
                          const steering::plan_service& service,
                          const std::set<base::failure_domain_id>& usable)
{
    for (const std::uint16_t domain : site.preference) {
        if (service.served_in[domain] && usable.contains(plan.domains[domain].id)) {
            return domain;
        }
    }
    return plan.domains.size();
}

} // namespace

std::set<base::failure_domain_id> usable_domains(const config::document& document,
                                                 const config::drains_document& drains,
                                                 const std::vector<inner::host_record>& members,
                                                 const std::set<base::failure_domain_id>& reachable)
{
    std::set<base::failure_domain_id> usable;
    for (const inner::host_record& record : members) {
        const bool takes_callers =
            record.status == inner::host_status::live && record.entry_incarnation.value() != 0 &&
            !has_drain(drains, config::drain_kind::host, record.host.value());
        if (takes_callers && reachable.contains(record.failure_domain) &&
            !is_domain_drained(document, drains, record.failure_domain)) {
            usable.insert(record.failure_domain);
        }
    }
    return usable;
}

std::vector<inner::site_weights> compute_weights(const config::document& document,
                                                 const std::set<base::failure_domain_id>& usable)
{
    const auto made = steering::make_plan(document);
    if (!base::is_ok(made)) {
        return {};
    }
    const steering::plan& plan = base::value_of(made);
    std::vector<inner::site_weights> rows;
    for (const steering::plan_site& site : plan.sites) {
        for (const steering::plan_service& service : plan.services) {
            const std::size_t chosen = chosen_domain(plan, site, service, usable);
            const bool refused = chosen == plan.domains.size();
            const std::size_t domain = refused ? site.home : chosen;
            rows.push_back({site.id.value(),
                            service.id.value(),
                            {plan.domains[domain].id.value()},
                            {refused ? 0 : steering::full_weight},
                            {refused ? steering::full_weight : 0}});
        }
    }
    return rows;
}

} // namespace snipeshore::apps
