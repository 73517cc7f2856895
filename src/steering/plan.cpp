#include "steering/plan.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>

namespace snipeshore::steering {

namespace {

using base::error;
using base::error_kind;

constexpr std::size_t max_entries = UINT16_MAX - 1;

/// Delay assumed between regions without a link; only orders the preferences.
constexpr std::chrono::microseconds no_link_delay = std::chrono::hours(1);

template <typename Id>
using index_of = std::unordered_map<Id, std::uint16_t>;

template <typename Id, typename Entries>
index_of<Id> make_index(const Entries& entries)
{
    index_of<Id> index;
    for (const auto& entry : entries) {
        index.emplace(entry.id, static_cast<std::uint16_t>(index.size()));
    }
    return index;
}

template <typename Id>
std::optional<std::uint16_t> find_index(const index_of<Id>& index, const Id& id)
{
    const auto found = index.find(id);
    return found == index.end() ? std::nullopt : std::optional(found->second);
}

error invalid(const std::string& place, const std::string& cause)
{
    return {error_kind::document_invalid, place + ": " + cause};
}

/// Requests per second that the targets in each failure domain can carry together.
std::vector<double> target_capacity(const config::document& document,
                                    const index_of<base::failure_domain_id>& domains)
{
    std::vector<double> capacity(document.failure_domains.size(), 0.0);
    for (const config::service& service : document.services) {
        for (const config::target& target : service.targets) {
            if (const auto domain = find_index(domains, target.failure_domain)) {
                capacity[*domain] += std::max(0.0, service.capacity_per_target.value());
            }
        }
    }
    return capacity;
}

/// Splits each region's usable capacity over its failure domains in proportion to their targets, or
/// evenly if the document states no capacity of targets.
void split_regions(plan& result, const std::vector<double>& capacity)
{
    std::vector<double> total(result.regions.size(), 0.0);
    std::vector<double> count(result.regions.size(), 0.0);
    for (std::size_t domain = 0; domain < result.domains.size(); ++domain) {
        total[result.domains[domain].region] += capacity[domain];
        count[result.domains[domain].region] += 1;
    }
    for (std::size_t domain = 0; domain < result.domains.size(); ++domain) {
        plan_domain& entry = result.domains[domain];
        const double share = total[entry.region] > 0 ? capacity[domain] / total[entry.region]
                                                     : 1 / count[entry.region];
        entry.usable = result.regions[entry.region].usable * share;
    }
}

std::vector<std::uint16_t> preference_of(const plan& result,
                                         const std::vector<std::chrono::microseconds>& delays,
                                         std::uint16_t home)
{
    const std::uint16_t region = result.domains[home].region;
    std::vector<std::uint16_t> order(result.domains.size());
    std::iota(order.begin(), order.end(), std::uint16_t{0});
    const auto rank = [&](std::uint16_t domain) {
        const std::uint16_t other = result.domains[domain].region;
        const auto delay = other == region ? std::chrono::microseconds{0}
                                           : delays[region * result.regions.size() + other];
        // Starts at the home domain, so that domains of equal delay are not all filled in the same
        // order by every site.
        const auto turn = (domain + result.domains.size() - home) % result.domains.size();
        return std::tuple(domain != home, other != region, delay, turn);
    };
    std::sort(order.begin(), order.end(),
              [&](std::uint16_t left, std::uint16_t right) { return rank(left) < rank(right); });
    return order;
}

double clamp_fraction(double fraction)
{
    return fraction >= 0 && fraction <= 1 ? fraction : 1.0;
}

} // namespace

base::result<plan> make_plan(const config::document& document)
{
    if (document.regions.empty() || document.failure_domains.empty() || document.hosts.empty()) {
        return invalid("/", "regions, failure domains and hosts must not be empty");
    }
    if (std::max({document.regions.size(), document.failure_domains.size(), document.sites.size(),
                  document.services.size()}) > max_entries) {
        return invalid("/", "a list has too many entries");
    }
    plan result;
    result.settings = document.steering;
    result.deciders = static_cast<std::uint32_t>(document.hosts.size());
    const double headroom = clamp_fraction(document.steering.region_headroom_fraction);
    for (const config::region& region : document.regions) {
        const double capacity = std::max(0.0, region.capacity.value());
        result.regions.push_back(
            {region.id, capacity, capacity * (1 - headroom), 1.0 / result.deciders});
    }
    const auto regions = make_index<base::region_id>(document.regions);
    const auto domains = make_index<base::failure_domain_id>(document.failure_domains);
    for (const config::failure_domain& domain : document.failure_domains) {
        const auto region = find_index(regions, domain.region);
        if (!region) {
            return invalid("/failure_domains", "unknown region '" + domain.region.value() + "'");
        }
        result.domains.push_back({domain.id, *region, 0});
    }
    split_regions(result, target_capacity(document, domains));

    const std::size_t count = result.regions.size();
    result.link_of.assign(count * count, -1);
    std::vector<std::chrono::microseconds> delays(count * count, no_link_delay);
    for (const config::link& link : document.links) {
        const auto from = find_index(regions, link.from);
        const auto to = find_index(regions, link.to);
        if (!from || !to) {
            return invalid("/links", "unknown region in the link from '" + link.from.value() +
                                         "' to '" + link.to.value() + "'");
        }
        delays[*from * count + *to] = link.delay;
        result.link_of[*from * count + *to] = static_cast<std::int32_t>(result.links.size());
        result.links.push_back({*from, *to,
                                static_cast<double>(link.capacity.value()) *
                                    (1 - clamp_fraction(link.headroom_fraction))});
    }
    for (const config::site& site : document.sites) {
        const auto home = find_index(domains, site.nearest);
        if (!home) {
            return invalid("/sites", "unknown failure domain '" + site.nearest.value() + "'");
        }
        result.sites.push_back({site.id, *home, preference_of(result, delays, *home)});
    }
    for (const config::service& service : document.services) {
        std::vector<bool> served(result.domains.size(), false);
        for (const config::target& target : service.targets) {
            if (const auto domain = find_index(domains, target.failure_domain)) {
                served[*domain] = true;
            }
        }
        result.services.push_back({service.id, service.warm_up, std::move(served)});
    }
    return result;
}

void set_local_shares(plan& plan, const config::document& document, const base::host_id& self,
                      double local)
{
    const auto domains = make_index<base::failure_domain_id>(document.failure_domains);
    std::vector<double> hosts(plan.regions.size(), 0.0);
    std::optional<std::uint16_t> own_region;
    double total = 0;
    for (const config::host& host : document.hosts) {
        const auto domain = find_index(domains, host.failure_domain);
        if (!domain) {
            continue;
        }
        const std::uint16_t region = plan.domains[*domain].region;
        hosts[region] += 1;
        total += 1;
        if (host.id == self) {
            own_region = region;
        }
    }
    const double fraction = clamp_fraction(local);
    for (std::size_t region = 0; region < plan.regions.size(); ++region) {
        double& share = plan.regions[region].share;
        if (!own_region) {
            share = 0;
        } else if (hosts[region] == 0 || hosts[region] == total) {
            share = 1 / total;
        } else if (region == *own_region) {
            share = fraction / hosts[region];
        } else {
            share = (1 - fraction) / (total - hosts[region]);
        }
    }
}

} // namespace snipeshore::steering
