#include "membership/peers.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace snipeshore::membership {

namespace {

using addresses = std::vector<std::string>;

struct candidates {
    addresses own_domain;
    addresses other_domains;
    addresses marked_dead;
};

candidates sort_members(const table& members, const inner::host_record& self)
{
    candidates sorted;
    for (const auto& [host, item] : members.members) {
        const auto& record = item.record;
        if (host == self.host || record.agent_address.empty()) {
            continue;
        }
        if (record.status == inner::host_status::dead) {
            sorted.marked_dead.push_back(record.agent_address);
        } else if (record.failure_domain == self.failure_domain) {
            sorted.own_domain.push_back(record.agent_address);
        } else {
            sorted.other_domains.push_back(record.agent_address);
        }
    }
    return sorted;
}

bool contains(const addresses& list, const std::string& address)
{
    return std::find(list.begin(), list.end(), address) != list.end();
}

void pick(addresses& chosen, addresses from, std::size_t count, std::mt19937_64& random)
{
    addresses sample;
    std::sample(from.begin(), from.end(), std::back_inserter(sample), count, random);
    for (auto& address : sample) {
        if (!contains(chosen, address)) {
            chosen.push_back(std::move(address));
        }
    }
}

addresses listed(const std::vector<seed>& seeds, const inner::host_record& self, bool own_domain)
{
    addresses list;
    for (const auto& item : seeds) {
        if (item.host != self.host && !item.agent_address.empty() &&
            item.agent_address != self.agent_address &&
            (item.failure_domain == self.failure_domain) == own_domain) {
            list.push_back(item.agent_address);
        }
    }
    return list;
}

void pick_with_seeds(addresses& chosen, const addresses& known, const addresses& seeds,
                     std::size_t count, std::mt19937_64& random)
{
    pick(chosen, known, count, random);
    if (known.size() < count) {
        pick(chosen, seeds, count - known.size(), random);
    }
}

} // namespace

std::vector<std::string> choose_peers(const table& members, const inner::host_record& self,
                                      const std::vector<seed>& seeds, const peer_settings& settings,
                                      std::mt19937_64& random)
{
    const auto known = sort_members(members, self);
    const auto own_seeds = listed(seeds, self, true);
    const auto other_seeds = listed(seeds, self, false);
    addresses chosen;
    pick_with_seeds(chosen, known.own_domain, own_seeds, settings.own_domain, random);
    pick_with_seeds(chosen, known.other_domains, other_seeds, settings.other_domains, random);
    if (random() % settings.retry_one_in == 0) {
        addresses retried = known.marked_dead;
        retried.insert(retried.end(), own_seeds.begin(), own_seeds.end());
        retried.insert(retried.end(), other_seeds.begin(), other_seeds.end());
        pick(chosen, std::move(retried), 1, random);
    }
    return chosen;
}

} // namespace snipeshore::membership
