#include "routing/route_table.h"

#include <algorithm>
#include <cctype>
#include <limits>
#include <set>
#include <string>

namespace snipeshore::routing {

namespace {

/// Greater than any route priority, so that the account's priority takes precedence.
constexpr int account_priority_factor = 1000;

bool allows_region(const std::vector<base::region_id>& homes, const base::region_id& region)
{
    return homes.empty() || std::find(homes.begin(), homes.end(), region) != homes.end();
}

std::vector<int> ranks_of(const route_table& table)
{
    std::set<int> ranks;
    for (const auto& [host, routes] : table.hosts) {
        for (const route& candidate : routes) {
            ranks.insert(rank_of(candidate, nullptr));
            for (const account& client_account : table.accounts) {
                ranks.insert(rank_of(candidate, &client_account));
            }
        }
    }
    if (!table.accounts.empty()) {
        // Requests without an account are few, so their ranks must not widen the urgency scale.
        std::erase_if(ranks, [](int rank) { return rank < account_priority_factor; });
    }
    return {ranks.begin(), ranks.end()};
}

} // namespace

std::string host_name(std::string_view authority)
{
    const std::size_t colon = authority.rfind(':');
    const bool has_port =
        colon != std::string_view::npos && authority.find(']', colon) == std::string_view::npos;
    std::string host(has_port ? authority.substr(0, colon) : authority);
    std::transform(host.begin(), host.end(), host.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return host;
}

void build_indexes(route_table& table)
{
    for (auto& [host, routes] : table.hosts) {
        std::stable_sort(routes.begin(), routes.end(), [](const route& left, const route& right) {
            return left.prefix.size() > right.prefix.size();
        });
    }
    table.account_of_key.clear();
    for (std::size_t index = 0; index < table.accounts.size(); ++index) {
        for (const std::string& key : table.accounts[index].keys) {
            table.account_of_key[key] = index;
        }
    }
    table.ranks = ranks_of(table);
}

double urgency_of(const route_table& table, int rank)
{
    if (table.ranks.size() < 2) {
        return 1;
    }
    const auto found = std::lower_bound(table.ranks.begin(), table.ranks.end(), rank);
    const auto position = static_cast<double>(found - table.ranks.begin());
    return std::max(0.0, 1 - position / static_cast<double>(table.ranks.size() - 1));
}

base::result<const route*> find_route(const route_table& table, std::string_view authority,
                                      std::string_view path)
{
    const auto found = table.hosts.find(host_name(authority));
    const std::string_view path_only = path.substr(0, path.find('?'));
    if (found != table.hosts.end()) {
        for (const route& candidate : found->second) {
            if (path_only.starts_with(candidate.prefix)) {
                return &candidate;
            }
        }
    }
    return base::error{base::error_kind::route_unknown, "no route for host and path"};
}

base::result<const account*> find_account(const route_table& table, std::string_view key)
{
    if (key.empty()) {
        return base::error{base::error_kind::key_missing, "the request has no key"};
    }
    const auto found = table.account_of_key.find(std::string(key));
    if (found == table.account_of_key.end()) {
        return base::error{base::error_kind::key_unknown, "no client account has the key"};
    }
    return &table.accounts[found->second];
}

const base::service_id& pick_service(const route& matched_route, std::uint64_t random)
{
    double total = 0;
    for (const weighted_service& candidate : matched_route.services) {
        total += candidate.weight;
    }
    double point = static_cast<double>(random) /
                   static_cast<double>(std::numeric_limits<std::uint64_t>::max()) * total;
    for (const weighted_service& candidate : matched_route.services) {
        point -= candidate.weight;
        if (point < 0 && candidate.weight > 0) {
            return candidate.service;
        }
    }
    return matched_route.services.back().service;
}

bool is_home(const route& matched_route, const account* client_account,
             const base::region_id& region)
{
    return allows_region(matched_route.homes, region) &&
           (client_account == nullptr || allows_region(client_account->homes, region));
}

int rank_of(const route& matched_route, const account* client_account)
{
    return (client_account == nullptr ? 0 : client_account->priority * account_priority_factor) +
           matched_route.priority;
}

} // namespace snipeshore::routing
