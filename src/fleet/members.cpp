#include "fleet/members.h"

#include "base/hash.h"

#include <algorithm>

namespace snipeshore::fleet {

bool hear(member_table& table, const member& from, base::time_point now)
{
    if (from.id == table.self) {
        return false;
    }
    known_member& known = table.members[from.id];
    known.info = from;
    known.was_heard = true;
    known.heard = now;
    return true;
}

void list(member_table& table, const member& listed)
{
    if (listed.id == table.self) {
        return;
    }
    const auto [entry, is_new] = table.members.try_emplace(listed.id);
    if (is_new || !entry->second.was_heard) {
        entry->second.info = listed;
    } else if (entry->second.info.control_address != listed.control_address) {
        // A new machine under the name of an old one.
        entry->second = {listed, false, {}};
    }
}

void remove(member_table& table, const base::host_id& host)
{
    table.members.erase(host);
}

bool is_live(const known_member& of_host, base::time_point now)
{
    return of_host.was_heard && now - of_host.heard < silent_after;
}

std::size_t possible_hosts(const member_table& table)
{
    return table.members.size() + 1;
}

std::vector<std::string> entry_addresses(
    const member_table& table, const member& self, const base::failure_domain_id& caller_domain,
    const std::function<base::region_id(const base::failure_domain_id&)>& region_of,
    base::time_point now)
{
    std::vector<std::string> same_domain;
    std::vector<std::string> same_region;
    std::vector<std::string> all;
    const auto add = [&](const member& host) {
        if (host.state != member_state::ready) {
            return;
        }
        all.push_back(host.entry_address);
        if (region_of(host.failure_domain) == region_of(caller_domain)) {
            same_region.push_back(host.entry_address);
        }
        if (host.failure_domain == caller_domain) {
            same_domain.push_back(host.entry_address);
        }
    };
    add(self);
    for (const auto& [id, known] : table.members) {
        if (is_live(known, now)) {
            add(known.info);
        }
    }
    if (!same_domain.empty()) {
        return same_domain;
    }
    return same_region.empty() ? all : same_region;
}

bool is_owner(const member_table& table, std::string_view target, base::time_point now)
{
    const std::uint64_t own = base::rendezvous_weight(target, table.self.value());
    return std::none_of(table.members.begin(), table.members.end(), [&](const auto& entry) {
        return is_live(entry.second, now) && entry.second.info.state == member_state::ready &&
               base::rendezvous_weight(target, entry.first.value()) > own;
    });
}

} // namespace snipeshore::fleet
