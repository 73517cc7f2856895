#include "apps/entry/peer_directory.h"

namespace snipeshore::apps {

std::string entry_inner_address(const fleet_state& fleet, const base::host_id& host)
{
    const inner::host_record* record = find_member(fleet, host);
    if (record != nullptr && !record->entry_inner_address.empty()) {
        return record->entry_inner_address;
    }
    if (fleet.config != nullptr) {
        for (const config::host& listed : fleet.config->hosts) {
            if (listed.id == host) {
                return listed.entry_inner_address;
            }
        }
    }
    return {};
}

std::vector<std::string> other_entry_addresses(const fleet_state& fleet, const base::host_id& self)
{
    std::vector<std::string> addresses;
    for (const inner::host_record& record : fleet.members) {
        if (record.host == self || record.status == inner::host_status::dead) {
            continue;
        }
        if (!record.entry_inner_address.empty()) {
            addresses.push_back(record.entry_inner_address);
        }
    }
    return addresses;
}

} // namespace snipeshore::apps
