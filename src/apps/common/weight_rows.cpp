#include "apps/common/weight_rows.h"

#include <algorithm>

namespace snipeshore::apps {

namespace {

std::uint32_t value_at(const std::vector<std::uint32_t>& values, std::size_t index)
{
    return index < values.size() ? values[index] : 0;
}

} // namespace

std::vector<std::size_t> set_rows(steering::weight_table& table, const steering::plan& plan,
                                  const std::vector<inner::site_weights>& rows)
{
    const auto sites = index_by_id(plan.sites);
    const auto services = index_by_id(plan.services);
    const auto domains = index_by_id(plan.domains);
    std::vector<std::size_t> replaced;
    for (const inner::site_weights& entry : rows) {
        const auto site = sites.find(entry.site);
        const auto service = services.find(entry.service);
        if (site == sites.end() || service == services.end()) {
            continue;
        }
        const std::size_t row = site->second * plan.services.size() + service->second;
        const std::size_t first = row * table.domains;
        std::fill_n(&table.weights[first], table.domains, 0);
        std::fill_n(&table.refused[first], table.domains, 0);
        for (std::size_t index = 0; index < entry.failure_domains.size(); ++index) {
            const auto domain = domains.find(entry.failure_domains[index]);
            if (domain == domains.end()) {
                continue;
            }
            table.weights[first + domain->second] = value_at(entry.weights, index);
            table.refused[first + domain->second] = value_at(entry.refused, index);
        }
        replaced.push_back(row);
    }
    return replaced;
}

} // namespace snipeshore::apps
