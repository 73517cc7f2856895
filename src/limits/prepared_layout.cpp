#include "limits/internal/prepared_layout.h"

#include "base/hash.h"
#include "limits/home_hosts.h"

#include <algorithm>
#include <utility>

namespace snipeshore::limits {

namespace {

using weighted_host = std::pair<std::uint64_t, std::uint32_t>;

std::vector<std::vector<std::uint32_t>> group_by_domain(std::span<const entry_host> hosts)
{
    std::unordered_map<base::failure_domain_id, std::size_t> index;
    std::vector<std::vector<std::uint32_t>> domains;
    for (std::uint32_t position = 0; position < hosts.size(); ++position) {
        const auto [found, added] =
            index.try_emplace(hosts[position].failure_domain, domains.size());
        if (added) {
            domains.emplace_back();
        }
        domains[found->second].push_back(position);
    }
    return domains;
}

std::vector<std::uint32_t> select_homes(const base::account_id& account,
                                        std::span<const entry_host> hosts,
                                        const std::vector<std::vector<std::uint32_t>>& domains)
{
    const std::uint64_t seed = base::stable_hash(account.value());
    std::vector<std::uint32_t> homes;
    homes.reserve(domains.size() * homes_per_failure_domain);
    std::vector<weighted_host> weights;
    for (const auto& domain : domains) {
        weights.clear();
        for (const std::uint32_t position : domain) {
            weights.emplace_back(base::stable_hash(hosts[position].id.value(), seed), position);
        }
        const std::size_t count = std::min(homes_per_failure_domain, weights.size());
        // Equal weights are ordered by host id, so that the order of the hosts has no effect.
        std::partial_sort(weights.begin(), weights.begin() + static_cast<std::ptrdiff_t>(count),
                          weights.end(),
                          [&](const weighted_host& left, const weighted_host& right) {
                              return left.first != right.first ? left.first > right.first
                                                               : hosts[left.second].id.value() <
                                                                     hosts[right.second].id.value();
                          });
        for (std::size_t index = 0; index < count; ++index) {
            homes.push_back(weights[index].second);
        }
    }
    return homes;
}

} // namespace

std::vector<std::uint32_t> home_positions(const base::account_id& account,
                                          std::span<const entry_host> hosts)
{
    return select_homes(account, hosts, group_by_domain(hosts));
}

share home_share(const account_limit& limit, std::size_t homes)
{
    if (homes == 0) {
        return {};
    }
    const auto parts = static_cast<double>(homes);
    return {std::max(0.0, limit.rate.value()) / parts, std::max(0.0, limit.burst.value()) / parts};
}

std::shared_ptr<prepared_layout> prepare(const layout& source)
{
    auto prepared = std::make_shared<prepared_layout>();
    prepared->version = source.version;
    prepared->hosts = source.hosts;
    prepared->domains = group_by_domain(source.hosts);
    for (const entry_host& host : source.hosts) {
        prepared->host_set.insert(host.id);
    }
    for (const account_limit& limit : source.accounts) {
        prepared->limits[limit.account] = {limit.rate.value(), limit.burst.value()};
    }
    return prepared;
}

std::vector<std::uint32_t> homes_in(const prepared_layout& from, const base::account_id& account)
{
    return select_homes(account, from.hosts, from.domains);
}

std::optional<share> share_in(const prepared_layout& from, const base::account_id& account,
                              const base::host_id& host)
{
    const auto limit = from.limits.find(account);
    if (limit == from.limits.end()) {
        return std::nullopt;
    }
    const std::vector<std::uint32_t> homes = homes_in(from, account);
    const bool is_home = std::any_of(homes.begin(), homes.end(), [&](std::uint32_t position) {
        return from.hosts[position].id == host;
    });
    if (!is_home) {
        return share{};
    }
    return home_share(
        {account, base::request_rate(limit->second.rate), base::request_count(limit->second.burst)},
        homes.size());
}

bool same_hosts(const prepared_layout& left, const prepared_layout& right)
{
    if (left.hosts.size() != right.hosts.size()) {
        return false;
    }
    std::unordered_map<base::host_id, base::failure_domain_id> domains;
    for (const entry_host& host : left.hosts) {
        domains.emplace(host.id, host.failure_domain);
    }
    return std::all_of(right.hosts.begin(), right.hosts.end(), [&](const entry_host& host) {
        const auto found = domains.find(host.id);
        return found != domains.end() && found->second == host.failure_domain;
    });
}

std::shared_ptr<const prepared_layout> min_limits_of(const prepared_layout& left,
                                                     const prepared_layout& right)
{
    auto merged = std::make_shared<prepared_layout>(right);
    for (const auto& [account, limit] : left.limits) {
        const auto [found, added] = merged->limits.try_emplace(account, limit);
        if (!added) {
            found->second.rate = std::min(found->second.rate, limit.rate);
            found->second.burst = std::min(found->second.burst, limit.burst);
        }
    }
    return merged;
}

} // namespace snipeshore::limits
