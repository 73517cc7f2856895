#include "membership/table.h"

#include "base/hash.h"

#include <algorithm>
#include <set>
#include <string>
#include <tuple>

namespace snipeshore::membership {

namespace {

auto order_of(const inner::host_record& record)
{
    return std::make_tuple(record.incarnation.value(), record.counter,
                           static_cast<int>(record.status));
}

// A host writes one content per counter. Comparing the content keeps merges commutative if a faulty
// host writes two.
auto content_of(const inner::host_record& record)
{
    std::vector<std::pair<std::string, std::uint64_t>> versions;
    for (const auto& item : record.versions) {
        versions.emplace_back(item.name, item.version);
    }
    return std::make_tuple(record.failure_domain, record.agent_address, record.lookup_address,
                           record.entry_address, record.entry_inner_address,
                           record.entry_incarnation, record.ticket_epoch, std::move(versions));
}

bool is_proof_of_life(const inner::host_record& candidate, const inner::host_record& current)
{
    return std::make_tuple(candidate.incarnation.value(), candidate.counter) >
           std::make_tuple(current.incarnation.value(), current.counter);
}

bool has_lowest_hash(const table& members, const inner::host_record& self, std::uint64_t seed)
{
    const auto own = std::make_pair(base::stable_hash(self.host.value(), seed), self.host);
    return std::all_of(members.members.begin(), members.members.end(), [&](const auto& item) {
        const auto& record = item.second.record;
        return record.host == self.host || record.failure_domain != self.failure_domain ||
               record.status != inner::host_status::live ||
               own < std::make_pair(base::stable_hash(record.host.value(), seed), record.host);
    });
}

void record_domain_contact(table& members, const inner::host_record& record, base::time_point now)
{
    if (record.status != inner::host_status::dead) {
        members.domain_last_contact[record.failure_domain] = now;
    }
}

} // namespace

bool overrides(const inner::host_record& candidate, const inner::host_record& current)
{
    const auto left = order_of(candidate);
    const auto right = order_of(current);
    return left != right ? left > right : content_of(candidate) > content_of(current);
}

bool merge(table& members, const inner::host_record& record, base::time_point now,
           const table_limits& limits)
{
    const auto known = members.members.find(record.host);
    if (known == members.members.end()) {
        if (members.members.size() >= limits.max_members) {
            return false;
        }
        members.members.emplace(record.host, member{record, now});
        record_domain_contact(members, record, now);
        ++members.revision;
        return true;
    }
    if (!overrides(record, known->second.record)) {
        return false;
    }
    if (is_proof_of_life(record, known->second.record)) {
        record_domain_contact(members, record, now);
    }
    known->second = {record, now};
    ++members.revision;
    return true;
}

bool merge_all(table& members, const std::vector<inner::host_record>& records, base::time_point now,
               const table_limits& limits)
{
    bool changed = false;
    for (const auto& record : records) {
        changed = merge(members, record, now, limits) || changed;
    }
    return changed;
}

self_check check_self(inner::host_record& self, const inner::host_record& seen, bool joining)
{
    if (seen.host != self.host || !overrides(seen, self)) {
        return self_check::agrees;
    }
    const bool other_incarnation = seen.incarnation != self.incarnation;
    if (other_incarnation && !joining && seen.agent_address != self.agent_address &&
        seen.status != inner::host_status::dead) {
        return self_check::superseded;
    }
    if (other_incarnation) {
        self.incarnation = base::incarnation(seen.incarnation.value() + 1);
    }
    self.counter = std::max(self.counter, seen.counter) + 1;
    return self_check::refuted;
}

std::vector<inner::domain_hash> domain_hashes(const table& members)
{
    std::map<std::string, std::uint64_t> hashes;
    for (const auto& [host, known] : members.members) {
        const auto& record = known.record;
        const auto text = host.value() + '\0' + std::to_string(record.incarnation.value()) + '\0' +
                          std::to_string(record.counter) + '\0' +
                          std::to_string(static_cast<int>(record.status));
        auto& hash = hashes[record.failure_domain.value()];
        hash = base::stable_hash(text, hash);
    }
    std::vector<inner::domain_hash> list;
    list.reserve(hashes.size());
    for (const auto& [domain, hash] : hashes) {
        list.push_back({domain, hash});
    }
    return list;
}

std::vector<inner::host_record> records_to_send(const table& members,
                                                const std::vector<inner::domain_hash>& theirs)
{
    std::map<std::string, std::uint64_t> known;
    for (const auto& item : theirs) {
        known[item.failure_domain] = item.hash;
    }
    std::set<std::string> differing;
    for (const auto& item : domain_hashes(members)) {
        const auto found = known.find(item.failure_domain);
        if (found == known.end() || found->second != item.hash) {
            differing.insert(item.failure_domain);
        }
    }
    std::vector<inner::host_record> records;
    for (const auto& [host, item] : members.members) {
        if (differing.contains(item.record.failure_domain.value())) {
            records.push_back(item.record);
        }
    }
    return records;
}

std::vector<inner::host_record> records_peer_lacks(const table& members,
                                                   const std::vector<inner::host_record>& theirs)
{
    std::map<base::host_id, const inner::host_record*> sent;
    std::set<base::failure_domain_id> domains;
    for (const auto& record : theirs) {
        sent[record.host] = &record;
        domains.insert(record.failure_domain);
    }
    std::vector<inner::host_record> records;
    for (const auto& [host, item] : members.members) {
        if (!domains.contains(item.record.failure_domain)) {
            continue;
        }
        const auto found = sent.find(host);
        if (found == sent.end() || overrides(item.record, *found->second)) {
            records.push_back(item.record);
        }
    }
    return records;
}

bool remove_long_dead(table& members, base::time_point now, const table_limits& limits)
{
    const auto removed = std::erase_if(members.members, [&](const auto& item) {
        return item.second.record.status == inner::host_status::dead &&
               now - item.second.changed > limits.dead_retention;
    });
    if (removed > 0) {
        ++members.revision;
    }
    return removed > 0;
}

bool is_reachable(const table& members, const base::failure_domain_id& domain, base::time_point now,
                  const table_limits& limits)
{
    const auto last_contact = members.domain_last_contact.find(domain);
    return last_contact != members.domain_last_contact.end() &&
           now - last_contact->second <= limits.domain_timeout;
}

bool sends_domain_heartbeat(const table& members, const inner::host_record& self)
{
    return has_lowest_hash(members, self, 0);
}

bool is_elected(const table& members, const inner::host_record& self, std::uint64_t interval)
{
    return has_lowest_hash(members, self, interval);
}

} // namespace snipeshore::membership
