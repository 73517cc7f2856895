#include "apps/common/fleet_state.h"

#include <algorithm>

namespace snipeshore::apps {

const inner::host_record* find_member(const fleet_state& fleet, const base::host_id& host)
{
    const auto found =
        std::find_if(fleet.members.begin(), fleet.members.end(),
                     [&](const inner::host_record& record) { return record.host == host; });
    return found == fleet.members.end() ? nullptr : &*found;
}

bool is_drained(const fleet_state& fleet, config::drain_kind kind, const std::string& id)
{
    const auto& drains = fleet.drains.drains;
    return std::any_of(drains.begin(), drains.end(), [&](const config::drain& drain) {
        return drain.kind == kind && drain.id == id;
    });
}

} // namespace snipeshore::apps
