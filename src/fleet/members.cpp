#include "fleet/members.h"

#include "base/hash.h"
#include "limits/target_limit.h"

#include <algorithm>
#include <utility>

namespace snipeshore::fleet {

namespace {

/// Messages to hosts of other failure domains that one host sends per second.
constexpr unsigned remote_messages_per_s = 12;

constexpr std::string_view reader_item = "reader";

/// The `count` highest-ranked other hosts for `item`.
std::vector<const known_member*> ranked_members(const member_table& table, std::string_view item,
                                                std::size_t count)
{
    std::vector<std::pair<std::uint64_t, const known_member*>> ranked;
    for (const auto& [id, known] : table.members) {
        ranked.emplace_back(base::rendezvous_weight(item, id.value()), &known);
    }
    const std::size_t kept = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept),
                      ranked.end(), std::greater<>());
    std::vector<const known_member*> first;
    for (std::size_t i = 0; i < kept; ++i) {
        first.push_back(ranked[i].second);
    }
    return first;
}

std::vector<member> live_near_first(const member_table& table,
                                    const std::vector<const known_member*>& ranked,
                                    base::time_point now)
{
    std::vector<member> near;
    std::vector<member> remote;
    for (const known_member* known : ranked) {
        if (is_live(table, *known, now)) {
            const bool is_near = known->info.failure_domain == table.own_domain;
            (is_near ? near : remote).push_back(known->info);
        }
    }
    near.insert(near.end(), remote.begin(), remote.end());
    return near;
}

/// A leaving host comes after all others.
std::uint64_t weight_of(const member& host)
{
    return host.state == member_state::leaving ? 0 : reader_weight(host.id);
}

bool may_call_store(const member_table& table, const known_member& known, base::time_point now)
{
    return known.info.failure_domain == table.own_domain &&
           known.info.state != member_state::leaving && has_recent_contact(known, now);
}

} // namespace

bool record_contact(member_table& table, const member& from, base::time_point now)
{
    if (from.id == table.self) {
        return false;
    }
    known_member& known = table.members[from.id];
    known.info = from;
    known.has_contact = true;
    known.last_contact = now;
    return true;
}

void add_listed(member_table& table, const member& listed)
{
    if (listed.id == table.self) {
        return;
    }
    const auto [entry, is_new] = table.members.try_emplace(listed.id);
    entry->second.is_unlisted = false;
    if (is_new || !entry->second.has_contact) {
        entry->second.info = listed;
    } else if (entry->second.info.control_address != listed.control_address) {
        // A new machine has the id of an old one.
        entry->second = {listed, false, {}, false};
    }
}

bool remove_unlisted(member_table& table, const base::host_id& host, base::time_point now)
{
    const auto found = table.members.find(host);
    if (found == table.members.end()) {
        return false;
    }
    const known_member& known = found->second;
    if (is_live(table, known, now) && known.info.state != member_state::leaving) {
        found->second.is_unlisted = true;
        return false;
    }
    table.members.erase(found);
    return true;
}

std::vector<base::host_id> remove_unlisted(member_table& table, base::time_point now)
{
    std::vector<base::host_id> unlisted;
    for (const auto& [id, known] : table.members) {
        if (known.is_unlisted) {
            unlisted.push_back(id);
        }
    }
    std::erase_if(unlisted,
                  [&](const base::host_id& id) { return !remove_unlisted(table, id, now); });
    return unlisted;
}

unsigned remote_interval_s(const member_table& table)
{
    return std::max<unsigned>(1,
                              static_cast<unsigned>(table.members.size()) / remote_messages_per_s);
}

bool has_recent_contact(const known_member& of_host, base::time_point now)
{
    return of_host.has_contact && now - of_host.last_contact < contact_timeout;
}

bool is_live(const member_table& table, const known_member& of_host, base::time_point now)
{
    if (of_host.info.failure_domain == table.own_domain) {
        return has_recent_contact(of_host, now);
    }
    return of_host.has_contact &&
           now - of_host.last_contact < contact_timeout * remote_interval_s(table);
}

std::uint64_t reader_weight(const base::host_id& host)
{
    return base::rendezvous_weight(reader_item, host.value());
}

std::size_t store_rank(const member_table& table, const member& self, base::time_point now)
{
    const std::uint64_t own = weight_of(self);
    return static_cast<std::size_t>(
        std::count_if(table.members.begin(), table.members.end(), [&](const auto& entry) {
            return may_call_store(table, entry.second, now) && weight_of(entry.second.info) > own;
        }));
}

std::vector<member> store_callers(const member_table& table, const member& self,
                                  base::time_point now)
{
    std::vector<member> callers;
    for (const auto& [id, known] : table.members) {
        if (may_call_store(table, known, now)) {
            callers.push_back(known.info);
        }
    }
    std::sort(callers.begin(), callers.end(), [](const member& left, const member& right) {
        return weight_of(left) > weight_of(right);
    });
    const std::size_t own = store_rank(table, self, now);
    const std::size_t most = own < max_store_callers ? max_store_callers - 1 : max_store_callers;
    callers.resize(std::min(most, callers.size()));
    return callers;
}

std::optional<member> store_reader(const member_table& table, const member& self,
                                   base::time_point now)
{
    std::optional<member> best;
    std::uint64_t best_weight = weight_of(self);
    for (const auto& [id, known] : table.members) {
        const std::uint64_t weight = weight_of(known.info);
        if (may_call_store(table, known, now) && known.info.reads_store && weight > best_weight) {
            best = known.info;
            best_weight = weight;
        }
    }
    if (best.has_value() || store_rank(table, self, now) < max_store_callers) {
        return best;
    }
    return store_callers(table, self, now).front();
}

bool is_among_first(const member_table& table, std::string_view item, std::size_t count)
{
    const std::uint64_t own = base::rendezvous_weight(item, table.self.value());
    const auto before =
        std::count_if(table.members.begin(), table.members.end(), [&](const auto& entry) {
            return base::rendezvous_weight(item, entry.first.value()) > own;
        });
    return static_cast<std::size_t>(before) < count;
}

std::vector<member> first_peers(const member_table& table, std::string_view item, std::size_t count,
                                base::time_point now)
{
    return live_near_first(table, ranked_members(table, item, count), now);
}

std::vector<member> live_peers(const member_table& table, std::string_view item, std::size_t max,
                               base::time_point now)
{
    std::vector<member> live =
        live_near_first(table, ranked_members(table, item, table.members.size()), now);
    live.resize(std::min(max, live.size()));
    return live;
}

double limit_share(const member_table& table, std::string_view target,
                   const base::failure_domain_id& target_domain, double rate)
{
    const std::uint64_t own = base::rendezvous_weight(target, table.self.value());
    const bool is_near = table.own_domain == target_domain;
    std::size_t near_hosts = is_near ? 1 : 0;
    std::size_t rank = 0; // Among the hosts on the own host's side.
    for (const auto& [id, known] : table.members) {
        const bool is_other_near = known.info.failure_domain == target_domain;
        near_hosts += is_other_near ? 1 : 0;
        const bool is_before = base::rendezvous_weight(target, id.value()) > own;
        rank += is_other_near == is_near && is_before ? 1 : 0;
    }
    const limits::limit_division division =
        limits::divide_target_limit(rate, near_hosts, possible_host_count(table) - near_hosts);
    if (is_near) {
        return rank < division.near_owners ? division.near_rate : 0;
    }
    return rank < division.other_owners ? division.other_rate : 0;
}

std::size_t possible_host_count(const member_table& table)
{
    return table.members.size() + 1;
}

std::vector<const member*> ready_hosts(const member_table& table, const member& self,
                                       base::time_point now)
{
    std::vector<const member*> ready;
    if (self.state == member_state::ready) {
        ready.push_back(&self);
    }
    for (const auto& [id, known] : table.members) {
        if (has_recent_contact(known, now) && known.info.state == member_state::ready) {
            ready.push_back(&known.info);
        }
    }
    return ready;
}

bool is_owner(const member_table& table, std::string_view target, base::time_point now)
{
    const std::uint64_t own = base::rendezvous_weight(target, table.self.value());
    return std::none_of(table.members.begin(), table.members.end(), [&](const auto& entry) {
        return is_live(table, entry.second, now) &&
               entry.second.info.state == member_state::ready &&
               entry.second.info.reaches_targets &&
               base::rendezvous_weight(target, entry.first.value()) > own;
    });
}

} // namespace snipeshore::fleet
