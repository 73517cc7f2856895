#include "apps/common/fleet_state.h"

#include <algorithm>

namespace snipeshore::apps {

namespace {

bool lists_drain(const config::drains_document& drains, config::drain_kind kind,
                 const std::string& id)
{
    return std::any_of(drains.drains.begin(), drains.drains.end(), [&](const config::drain& drain) {
        return drain.kind == kind && drain.id == id;
    });
}

bool is_region_drained(const fleet_state& fleet, const base::failure_domain_id& domain)
{
    if (fleet.config == nullptr) {
        return false;
    }
    const auto& domains = fleet.config->failure_domains;
    const auto found = std::find_if(domains.begin(), domains.end(),
                                    [&](const auto& candidate) { return candidate.id == domain; });
    return found != domains.end() &&
           lists_drain(fleet.drains, config::drain_kind::region, found->region.value());
}

} // namespace

const inner::host_record* find_member(const fleet_state& fleet, const base::host_id& host)
{
    const auto found =
        std::find_if(fleet.members.begin(), fleet.members.end(),
                     [&](const inner::host_record& record) { return record.host == host; });
    return found == fleet.members.end() ? nullptr : &*found;
}

bool is_drained(const fleet_state& fleet, config::drain_kind kind, const std::string& id,
                const base::failure_domain_id& domain)
{
    return lists_drain(fleet.drains, kind, id) ||
           lists_drain(fleet.drains, config::drain_kind::failure_domain, domain.value()) ||
           is_region_drained(fleet, domain);
}

} // namespace snipeshore::apps
