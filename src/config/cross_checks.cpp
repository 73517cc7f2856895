#include "config/internal/cross_checks.h"

#include "config/address.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace snipeshore::config::internal {

namespace {

using pointer = nlohmann::json::json_pointer;

/// Relative tolerance for rounding errors in sums of decimal fractions.
constexpr double relative_tolerance = 1e-9;

const pointer root;

pointer item(const char* list, std::size_t index)
{
    return root / list / index;
}

/// Checks that names are unique and that references name an existing item. Stores the location of
/// the first use of each name.
class unique_names {
public:
    unique_names(problem_collector& problems, std::string noun)
        : m_problems(problems), m_noun(std::move(noun))
    {}

    void add(const std::string& name, const pointer& location)
    {
        const auto [first, inserted] = m_first.try_emplace(name, location);
        if (!inserted) {
            m_problems.add(location, "a " + m_noun + " that differs from the one at " +
                                         first->second.to_string());
        }
    }

    bool is_defined(const std::string& name) const
    {
        return m_first.count(name) != 0;
    }

    void require(const std::string& name, const pointer& location) const
    {
        if (!is_defined(name)) {
            m_problems.add(location, "the id of a " + m_noun + " in the document");
        }
    }

private:
    problem_collector& m_problems;
    std::string m_noun;
    std::unordered_map<std::string, pointer> m_first;
};

/// Identifiers that the document defines, by the kind of item. `collect_names` reports duplicates.
struct name_tables {
    unique_names regions;
    unique_names failure_domains;
    unique_names services;
    unique_names sites;

    explicit name_tables(problem_collector& problems)
        : regions(problems, "region"), failure_domains(problems, "failure domain"),
          services(problems, "service"), sites(problems, "site")
    {}
};

name_tables collect_names(const document& checked, problem_collector& problems)
{
    name_tables names(problems);
    for (std::size_t i = 0; i < checked.regions.size(); ++i) {
        names.regions.add(checked.regions[i].id.value(), item("regions", i) / "id");
    }
    for (std::size_t i = 0; i < checked.failure_domains.size(); ++i) {
        names.failure_domains.add(checked.failure_domains[i].id.value(),
                                  item("failure_domains", i) / "id");
    }
    for (std::size_t i = 0; i < checked.services.size(); ++i) {
        names.services.add(checked.services[i].id.value(), item("services", i) / "id");
    }
    for (std::size_t i = 0; i < checked.sites.size(); ++i) {
        names.sites.add(checked.sites[i].id.value(), item("sites", i) / "id");
    }
    return names;
}

void check_topology(const document& checked, const name_tables& names, problem_collector& problems)
{
    std::set<std::string> domains_with_host;
    for (const host& entry : checked.hosts) {
        domains_with_host.insert(entry.failure_domain.value());
    }
    std::set<std::string> regions_with_host;
    for (std::size_t i = 0; i < checked.failure_domains.size(); ++i) {
        const failure_domain& domain = checked.failure_domains[i];
        names.regions.require(domain.region.value(), item("failure_domains", i) / "region");
        if (domains_with_host.count(domain.id.value()) != 0) {
            regions_with_host.insert(domain.region.value());
        } else {
            problems.add(item("failure_domains", i) / "id",
                         "a failure domain with at least one entry host");
        }
    }
    for (std::size_t i = 0; i < checked.regions.size(); ++i) {
        if (regions_with_host.count(checked.regions[i].id.value()) == 0) {
            problems.add(item("regions", i) / "id", "a region with at least one entry host");
        }
    }
    for (std::size_t i = 0; i < checked.sites.size(); ++i) {
        names.failure_domains.require(checked.sites[i].nearest.value(),
                                      item("sites", i) / "nearest");
    }
}

void check_links(const document& checked, const name_tables& names, problem_collector& problems)
{
    using direction = std::pair<std::string, std::string>;
    std::map<direction, const link*> by_direction;
    for (std::size_t i = 0; i < checked.links.size(); ++i) {
        const link& entry = checked.links[i];
        names.regions.require(entry.from.value(), item("links", i) / "from");
        names.regions.require(entry.to.value(), item("links", i) / "to");
        if (entry.from == entry.to) {
            problems.add(item("links", i) / "to", "a region other than the one in 'from'");
        }
        if (!by_direction.try_emplace({entry.from.value(), entry.to.value()}, &entry).second) {
            problems.add(item("links", i),
                         "at most one link for each direction between two regions");
        }
    }
    for (std::size_t i = 0; i < checked.links.size(); ++i) {
        const link& entry = checked.links[i];
        const auto found = by_direction.find({entry.to.value(), entry.from.value()});
        if (found == by_direction.end()) {
            problems.add(item("links", i), "a matching link in the opposite direction");
            continue;
        }
        const link& opposite = *found->second;
        const auto require_equal = [&](bool equal, const char* field) {
            if (!equal) {
                problems.add(item("links", i) / field,
                             "the same value as the link in the opposite direction");
            }
        };
        require_equal(entry.capacity == opposite.capacity, "capacity");
        require_equal(entry.headroom_fraction == opposite.headroom_fraction, "headroom_fraction");
        require_equal(entry.delay == opposite.delay, "delay");
    }
}

void check_address(const std::string& address, const pointer& location, unique_names& addresses,
                   problem_collector& problems)
{
    if (!is_ip_port(address)) {
        problems.add(location, "an address as 'ip:port' or '[ipv6]:port' with a port above 0");
    }
    addresses.add(address, location);
}

void check_hosts(const document& checked, const name_tables& names, unique_names& addresses,
                 problem_collector& problems)
{
    unique_names ids(problems, "host id");
    for (std::size_t i = 0; i < checked.hosts.size(); ++i) {
        const host& entry = checked.hosts[i];
        const pointer location = item("hosts", i);
        ids.add(entry.id.value(), location / "id");
        names.failure_domains.require(entry.failure_domain.value(), location / "failure_domain");
        check_address(entry.lookup_address, location / "lookup_address", addresses, problems);
        check_address(entry.entry_address, location / "entry_address", addresses, problems);
        check_address(entry.entry_inner_address, location / "entry_inner_address", addresses,
                      problems);
        check_address(entry.agent_address, location / "agent_address", addresses, problems);
        for (std::size_t j = 0; j < entry.admin_addresses.size(); ++j) {
            check_address(entry.admin_addresses[j], location / "admin_addresses" / j, addresses,
                          problems);
        }
    }
}

void check_routes(const service& checked, const pointer& location, problem_collector& problems)
{
    unique_names prefixes(problems, "path prefix");
    for (std::size_t i = 0; i < checked.routes.size(); ++i) {
        const route& entry = checked.routes[i];
        const pointer route_location = location / "routes" / i;
        prefixes.add(entry.path_prefix, route_location / "path_prefix");
        if (entry.repeats == repeat::once && entry.hedge) {
            problems.add(route_location / "hedge", "false, because the route is non-idempotent");
        }
        if (entry.repeats == repeat::once && entry.who == access::open) {
            problems.add(route_location / "who", "'account', because a non-idempotent route needs "
                                                 "a ticket, which is issued to an account");
        }
        unique_names methods(problems, "method");
        for (std::size_t j = 0; j < entry.methods.size(); ++j) {
            methods.add(entry.methods[j], route_location / "methods" / j);
        }
    }
}

void check_services(const document& checked, const name_tables& names, unique_names& addresses,
                    problem_collector& problems)
{
    unique_names host_names(problems, "host name");
    unique_names target_ids(problems, "target id");
    for (std::size_t i = 0; i < checked.services.size(); ++i) {
        const service& entry = checked.services[i];
        const pointer location = item("services", i);
        for (std::size_t j = 0; j < entry.host_names.size(); ++j) {
            host_names.add(entry.host_names[j], location / "host_names" / j);
        }
        check_routes(entry, location, problems);
        for (std::size_t j = 0; j < entry.targets.size(); ++j) {
            const target& endpoint = entry.targets[j];
            const pointer target_location = location / "targets" / j;
            target_ids.add(endpoint.id.value(), target_location / "id");
            names.failure_domains.require(endpoint.failure_domain.value(),
                                          target_location / "failure_domain");
            check_address(endpoint.address, target_location / "address", addresses, problems);
        }
    }
}

double capacity_of(const service& entry)
{
    return entry.capacity_per_target.value() * static_cast<double>(entry.targets.size());
}

bool exceeds(double demand, double capacity)
{
    return demand > capacity * (1 + relative_tolerance);
}

std::string format_rate(double rate)
{
    return nlohmann::json(rate).dump();
}

void check_region_capacity(const document& checked, problem_collector& problems)
{
    std::map<std::string, std::string> region_of;
    for (const failure_domain& domain : checked.failure_domains) {
        region_of[domain.id.value()] = domain.region.value();
    }
    std::map<std::string, double> target_capacity;
    for (const service& entry : checked.services) {
        for (const target& endpoint : entry.targets) {
            target_capacity[region_of[endpoint.failure_domain.value()]] +=
                entry.capacity_per_target.value();
        }
    }
    for (std::size_t i = 0; i < checked.regions.size(); ++i) {
        const region& entry = checked.regions[i];
        const double limit = target_capacity[entry.id.value()];
        if (exceeds(entry.capacity.value(), limit)) {
            problems.add(item("regions", i) / "capacity",
                         "at most " + format_rate(limit) + ", the sum over the region's targets");
        }
    }
}

/// Checks that the services can carry the rates of the accounts. An account may send its whole rate
/// to any mix of its services, so the services of an account must carry the summed rates of all
/// accounts that use only these services. This condition is necessary; it is also sufficient as
/// long as the accounts' sets of services are nested or disjoint.
void check_rates(const document& checked, problem_collector& problems)
{
    std::map<std::string, double> capacity;
    for (const service& entry : checked.services) {
        capacity[entry.id.value()] = capacity_of(entry);
    }
    const auto is_known = [&](const base::service_id& id) {
        return capacity.count(id.value()) != 0;
    };
    using service_set = std::set<std::string>;
    std::map<service_set, double> demand;
    double total_demand = 0;
    std::vector<service_set> sets;
    for (const account& entry : checked.accounts) {
        service_set services;
        // `check_accounts` reports unknown services. An account that names one is left out of the
        // check of its services' capacity.
        if (std::all_of(entry.services.begin(), entry.services.end(), is_known)) {
            for (const base::service_id& id : entry.services) {
                services.insert(id.value());
            }
        }
        demand[services] += entry.rate.value();
        total_demand += entry.rate.value();
        sets.push_back(std::move(services));
    }

    for (std::size_t i = 0; i < checked.accounts.size(); ++i) {
        const service_set& services = sets[i];
        if (services.empty()) {
            continue;
        }
        double limit = 0;
        for (const std::string& id : services) {
            limit += capacity[id];
        }
        double sum = 0;
        for (const auto& [others, rate] : demand) {
            if (!others.empty() &&
                std::includes(services.begin(), services.end(), others.begin(), others.end())) {
                sum += rate;
            }
        }
        if (exceeds(sum, limit)) {
            problems.add(item("accounts", i) / "rate",
                         "rates whose sum over the accounts that use only the same services is "
                         "at most " +
                             format_rate(limit) + "; it is " + format_rate(sum));
        }
    }

    double free_capacity = 0;
    for (const region& entry : checked.regions) {
        free_capacity += entry.capacity.value() * (1 - checked.steering.region_headroom_fraction);
    }
    if (exceeds(total_demand, free_capacity)) {
        problems.add(root / "accounts",
                     "rates whose sum is at most " + format_rate(free_capacity) +
                         ", the total capacity of the regions minus their headroom; it "
                         "is " +
                         format_rate(total_demand));
    }
}

void check_accounts(const document& checked, const name_tables& names, problem_collector& problems)
{
    unique_names ids(problems, "account id");
    for (std::size_t i = 0; i < checked.accounts.size(); ++i) {
        const account& entry = checked.accounts[i];
        const pointer location = item("accounts", i);
        ids.add(entry.id.value(), location / "id");
        unique_names services(problems, "service");
        for (std::size_t j = 0; j < entry.services.size(); ++j) {
            names.services.require(entry.services[j].value(), location / "services" / j);
            services.add(entry.services[j].value(), location / "services" / j);
        }
    }
}

void check_blocks(const document& checked, const name_tables& names, problem_collector& problems)
{
    std::vector<std::pair<address_block, std::size_t>> blocks;
    for (std::size_t i = 0; i < checked.client_blocks.size(); ++i) {
        const client_block& entry = checked.client_blocks[i];
        const pointer location = item("client_blocks", i);
        names.sites.require(entry.site.value(), location / "site");
        if (const auto block = parse_block(entry.cidr)) {
            blocks.emplace_back(*block, i);
        } else {
            problems.add(location / "cidr",
                         "an IPv4 or IPv6 block as 'address/bits' whose host bits "
                         "are 0");
        }
    }
    // Two blocks are either nested or disjoint, so in this order a block follows every block that
    // contains it.
    std::sort(blocks.begin(), blocks.end(), [](const auto& left, const auto& right) {
        return std::tie(left.first.first, left.first.prefix_bits, left.second) <
               std::tie(right.first.first, right.first.prefix_bits, right.second);
    });
    const std::pair<address_block, std::size_t>* widest = nullptr;
    for (const auto& block : blocks) {
        if (widest != nullptr && contains(widest->first, block.first)) {
            problems.add(item("client_blocks", block.second) / "cidr",
                         "a block that does not overlap with " +
                             checked.client_blocks[widest->second].cidr + " at " +
                             item("client_blocks", widest->second).to_string());
        } else {
            widest = &block;
        }
    }
}

void check_settings(const document& checked, problem_collector& problems)
{
    const steering_settings& steering = checked.steering;
    if (steering.shift_cap_fraction > steering.region_headroom_fraction) {
        problems.add(root / "steering" / "shift_cap_fraction",
                     "at most the region_headroom_fraction " +
                         format_rate(steering.region_headroom_fraction));
    }
    if (steering.stale_after < steering.interval) {
        problems.add(root / "steering" / "stale_after",
                     "at least the interval " + std::to_string(steering.interval.count()));
    }
    const key_settings& keys = checked.keys;
    if (keys.when_cut == isolated_key_policy::refuse_after && keys.refuse_after.count() == 0) {
        problems.add(root / "keys" / "refuse_after",
                     "at least 1, because when_cut is refuse_after");
    }
}

} // namespace

void cross_check(const document& checked, problem_collector& problems)
{
    const name_tables names = collect_names(checked, problems);
    unique_names addresses(problems, "address");
    check_topology(checked, names, problems);
    check_links(checked, names, problems);
    check_hosts(checked, names, addresses, problems);
    check_services(checked, names, addresses, problems);
    check_accounts(checked, names, problems);
    check_region_capacity(checked, problems);
    check_rates(checked, problems);
    check_blocks(checked, names, problems);
    check_settings(checked, problems);
}

} // namespace snipeshore::config::internal
