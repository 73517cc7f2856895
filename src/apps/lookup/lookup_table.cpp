#include "apps/lookup/lookup_table.h"

#include "apps/common/weight_rows.h"
#include "base/hash.h"
#include "steering/lookup.h"
#include "steering/plan.h"

#include <algorithm>
#include <utility>

namespace snipeshore::apps {

namespace {

using base::error;
using base::error_kind;

std::uint16_t site_of_domain(const steering::plan& plan, const base::failure_domain_id& domain)
{
    for (std::size_t index = 0; index < plan.sites.size(); ++index) {
        if (plan.domains[plan.sites[index].home].id == domain) {
            return static_cast<std::uint16_t>(index);
        }
    }
    return 0;
}

bool is_eligible(const fleet_state& fleet, const inner::host_record& record)
{
    return record.status == inner::host_status::live && record.entry_incarnation.value() != 0 &&
           !is_drained(fleet, config::drain_kind::host, record.host.value());
}

} // namespace

base::result<lookup_table> make_lookup_table(const config::document& document,
                                             const base::failure_domain_id& own_domain)
{
    base::result<steering::plan> plan = steering::make_plan(document);
    if (!base::is_ok(plan)) {
        return base::error_of(plan);
    }
    base::result<steering::block_table> blocks = steering::build_block_table(document);
    if (!base::is_ok(blocks)) {
        return base::error_of(blocks);
    }
    lookup_table table;
    table.plan = std::move(base::value_of(plan));
    table.blocks = std::move(base::value_of(blocks));
    const std::size_t rows = table.plan.sites.size() * table.plan.services.size();
    table.weights = steering::make_weight_table(table.plan);
    table.has_weights.resize(rows);
    table.demand.resize(rows);
    table.hosts.resize(table.plan.domains.size());
    table.service_index = index_by_id(table.plan.services);
    table.default_site = site_of_domain(table.plan, own_domain);
    return table;
}

void set_weights(lookup_table& table, const std::vector<inner::site_weights>& weights)
{
    for (const std::size_t row : set_rows(table.weights, table.plan, weights)) {
        table.has_weights[row] = true;
    }
}

void set_hosts(lookup_table& table, const fleet_state& fleet)
{
    const auto domains = index_by_id(table.plan.domains);
    for (auto& hosts : table.hosts) {
        hosts.clear();
    }
    for (std::size_t index = 0; index < fleet.members.size(); ++index) {
        const inner::host_record& record = fleet.members[index];
        const auto domain = domains.find(record.failure_domain.value());
        if (domain == domains.end() || !is_eligible(fleet, record)) {
            continue;
        }
        table.hosts[domain->second].push_back(
            {base::stable_hash(record.host.value()), static_cast<std::uint32_t>(index)});
    }
}

base::result<lookup_result> choose_entry_host(lookup_table& table, std::string_view service,
                                              const std::optional<steering::client_address>& caller,
                                              std::uint16_t draw)
{
    const auto found = table.service_index.find(std::string(service));
    if (found == table.service_index.end()) {
        return error{error_kind::service_unknown,
                     "unknown service \"" + std::string(service) + "\""};
    }
    std::optional<steering::block_match> match;
    if (caller.has_value()) {
        match = steering::match_block(table.blocks, *caller);
    }
    const std::uint16_t site = match.has_value() ? match->site : table.default_site;
    const std::size_t row = site * table.plan.services.size() + found->second;
    if (!table.has_weights[row]) {
        return error{error_kind::not_ready, "no steering decision for this site yet"};
    }
    ++table.demand[row];
    // Callers that are not in a client block are distributed by the random number, so that they do
    // not all use the same host.
    const std::uint32_t salt = match.has_value() ? match->salt : draw;
    const auto choice = steering::choose_entry(table.weights, row, salt, draw, table.hosts);
    if (!base::is_ok(choice)) {
        return base::error_of(choice);
    }
    const steering::lookup_choice& chosen = base::value_of(choice);
    return lookup_result{chosen.host, chosen.domain, site};
}

} // namespace snipeshore::apps
