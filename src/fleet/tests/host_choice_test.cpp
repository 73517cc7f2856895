#include "fleet/host_choice.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace snipeshore;

namespace {

fleet::member make_host(const std::string& domain, int number, bool reaches_targets)
{
    const std::string name = domain + "-" + std::to_string(number);
    fleet::member host{base::host_id(name),  base::failure_domain_id(domain),
                       name + ":80",         name + ":90",
                       base::incarnation(1), fleet::member_state::ready};
    host.reaches_targets = reaches_targets;
    return host;
}

/// Domain "n1" belongs to region "n".
base::region_id region_of(const base::failure_domain_id& domain)
{
    return base::region_id(domain.value().substr(0, 1));
}

fleet::host_list pointers_to(const std::vector<fleet::member>& hosts)
{
    fleet::host_list pointers;
    for (const fleet::member& host : hosts) {
        pointers.push_back(&host);
    }
    return pointers;
}

std::set<std::string> ids_of(const fleet::host_list& hosts)
{
    std::set<std::string> ids;
    for (const fleet::member* host : hosts) {
        ids.insert(host->id.value());
    }
    return ids;
}

std::set<std::string> named(const std::vector<fleet::member>& ready, const std::string& domain)
{
    return ids_of(
        fleet::entry_hosts(pointers_to(ready), base::failure_domain_id(domain), region_of));
}

} // namespace

TEST_CASE("look-ups name hosts that reach targets")
{
    const fleet::member other_domain = make_host("n2", 1, true);
    const fleet::member other_region = make_host("s1", 1, true);
    SUBCASE("of the caller's domain, while they are at least half of it")
    {
        CHECK(named({make_host("n1", 1, false), make_host("n1", 2, true), other_domain}, "n1") ==
              std::set<std::string>{"n1-2"});
    }
    SUBCASE("of the region, if most of the domain is cut")
    {
        CHECK(named({make_host("n1", 1, false), make_host("n1", 2, false), other_domain,
                     make_host("n2", 2, true), other_region},
                    "n1") == std::set<std::string>{"n2-1", "n2-2"});
    }
    SUBCASE("of the fleet, if most of the region is cut")
    {
        CHECK(named({make_host("n1", 1, false), make_host("n1", 2, false), other_domain,
                     other_region, make_host("s2", 1, true)},
                    "n1") == std::set<std::string>{"n2-1", "s1-1", "s2-1"});
    }
    SUBCASE("and the nearest hosts, if most of the fleet is cut")
    {
        CHECK(named({make_host("n1", 1, false), make_host("n1", 2, false),
                     make_host("s1", 1, false), other_domain},
                    "n1") == std::set<std::string>{"n1-1", "n1-2"});
        CHECK(named({make_host("n1", 1, false), make_host("s1", 1, false)}, "w1") ==
              std::set<std::string>{"n1-1", "s1-1"});
    }
}

TEST_CASE("requests are relayed through hosts that reach targets")
{
    const fleet::member self = make_host("n1", 1, false);
    SUBCASE("near ones first")
    {
        const std::vector<fleet::member> ready{self, make_host("n1", 2, true),
                                               make_host("n2", 1, true)};
        CHECK(ids_of(fleet::relay_hosts(pointers_to(ready), self, region_of)) ==
              std::set<std::string>{"n1-2"});
    }
    SUBCASE("none of an earlier version")
    {
        fleet::member earlier = make_host("n1", 2, true);
        earlier.takes_relayed = false;
        CHECK(ids_of(fleet::relay_hosts(pointers_to({self, earlier}), self, region_of)).empty());
    }
    SUBCASE("all of them, if they are few")
    {
        const std::vector<fleet::member> ready{self, make_host("n1", 2, false),
                                               make_host("s1", 1, false), make_host("s2", 1, true)};
        CHECK(ids_of(fleet::relay_hosts(pointers_to(ready), self, region_of)) ==
              std::set<std::string>{"s2-1"});
    }
    SUBCASE("none, if no host reaches targets, and never the own host")
    {
        CHECK(fleet::relay_hosts(pointers_to({self, make_host("s1", 1, false)}), self, region_of)
                  .empty());
        const fleet::member well = make_host("n1", 1, true);
        CHECK(fleet::relay_hosts(pointers_to({well}), well, region_of).empty());
    }
    SUBCASE("the one with the fewest open relays, at random among equals")
    {
        const std::vector<fleet::member> hosts{make_host("n1", 1, true), make_host("n1", 2, true),
                                               make_host("n1", 3, true)};
        std::map<std::string, std::size_t> open{{"n1-1", 2}, {"n1-2", 1}, {"n1-3", 1}};
        const auto open_relays = [&](const fleet::member& host) {
            return open[host.id.value()];
        };
        std::set<std::string> picked;
        for (std::uint64_t random = 0; random < 3; ++random) {
            picked.insert(fleet::pick_relay(hosts, open_relays, random).id.value());
        }
        CHECK(picked == std::set<std::string>{"n1-2", "n1-3"});
    }
    SUBCASE("as long as they have room beside their own callers' requests")
    {
        CHECK(fleet::has_room_for_relayed(1023, 2048));
        CHECK_FALSE(fleet::has_room_for_relayed(1024, 2048));
    }
}

// No host may bear the callers of all the others, whichever hosts are cut.
TEST_CASE("in a large fleet, look-ups spread callers whichever hosts are cut")
{
    constexpr int domains = 22;
    constexpr int hosts_per_domain = 45;
    constexpr int callers_per_domain = 900; // 20 for each host
    const auto domain_name = [](int domain) {
        return std::string(1, static_cast<char>('a' + domain % 9)) + std::to_string(domain);
    };
    for (int cut_domains = 0; cut_domains <= domains; ++cut_domains) {
        for (const int cut_in_domain : {hosts_per_domain / 2, hosts_per_domain}) {
            std::vector<fleet::member> ready;
            for (int domain = 0; domain < domains; ++domain) {
                for (int host = 0; host < hosts_per_domain; ++host) {
                    const bool is_cut = domain < cut_domains && host < cut_in_domain;
                    ready.push_back(make_host(domain_name(domain), host, !is_cut));
                }
            }
            std::map<std::string, double> callers;
            for (int domain = 0; domain < domains; ++domain) {
                const auto hosts = fleet::entry_hosts(
                    pointers_to(ready), base::failure_domain_id(domain_name(domain)), region_of);
                REQUIRE(!hosts.empty());
                for (const fleet::member* host : hosts) {
                    callers[host->id.value()] +=
                        callers_per_domain / static_cast<double>(hosts.size());
                }
            }
            const auto most = std::max_element(
                callers.begin(), callers.end(),
                [](const auto& left, const auto& right) { return left.second < right.second; });
            // Twice its own, as much of a cut domain of its region, and its part of all others.
            CHECK_MESSAGE(most->second <= 20 * 6, "domains cut: ", cut_domains);
        }
    }
}
