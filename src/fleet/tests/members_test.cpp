#include "fleet/host_choice.h"
#include "fleet/members.h"

#include <doctest/doctest.h>

using namespace snipeshore;
using namespace std::chrono_literals;

namespace {

fleet::member make_member(const std::string& name, const std::string& domain,
                          fleet::member_state state = fleet::member_state::ready)
{
    return {base::host_id(name),  base::failure_domain_id(domain),
            name + ":80",         name + ":90",
            base::incarnation(1), state};
}

base::region_id region_of(const base::failure_domain_id& domain)
{
    return base::region_id(domain.value().substr(0, 1));
}

std::vector<std::string> named(const fleet::member_table& table, const fleet::member& self,
                               const std::string& domain, base::time_point now)
{
    std::vector<std::string> addresses;
    for (const fleet::member* host : fleet::entry_hosts(
             fleet::ready_hosts(table, self, now), base::failure_domain_id(domain), region_of)) {
        addresses.push_back(host->entry_address);
    }
    return addresses;
}

} // namespace

TEST_CASE("callers get the addresses of hosts that can serve them")
{
    const base::time_point now = base::time_point{} + 1h;
    const fleet::member self = make_member("self", "n1");
    fleet::member_table table;
    table.self = self.id;
    fleet::record_contact(table, make_member("near", "n2"), now);
    fleet::record_contact(table, make_member("far", "s1"), now);
    SUBCASE("hosts of the caller's failure domain are preferred, then its region, then all")
    {
        CHECK(named(table, self, "n1", now) == std::vector<std::string>{"self:80"});
        CHECK(named(table, self, "n3", now) == std::vector<std::string>{"self:80", "near:80"});
        CHECK(named(table, self, "w1", now).size() == 3);
    }
    SUBCASE("an unresponsive, leaving or starting host is not returned")
    {
        CHECK(named(table, self, "s1", now + 3s) == std::vector<std::string>{"self:80"});
        fleet::record_contact(table, make_member("far", "s1", fleet::member_state::leaving), now);
        CHECK(named(table, self, "s1", now).size() == 2);
        fleet::record_contact(table, make_member("far", "s1", fleet::member_state::starting), now);
        CHECK(named(table, self, "s1", now).size() == 2);
    }
    SUBCASE("a listed host is not returned before its first message, but may own a share")
    {
        fleet::add_listed(table, make_member("listed", "w1"));
        CHECK(named(table, self, "w1", now).size() == 3);
        CHECK(fleet::possible_host_count(table) == 4);
    }
    SUBCASE("a partitioned host keeps its share, since it may still serve requests")
    {
        CHECK(fleet::possible_host_count(table) == 3);
        fleet::remove_unlisted(table, base::host_id("far"), now + 1min);
        CHECK(fleet::possible_host_count(table) == 2);
    }
    // Guards against a larger share of the accounts' limits while a serving host is missing in a
    // store that was restored to an earlier state.
    SUBCASE(
        "a host that serves stays known when its row goes missing, until it leaves or is silent")
    {
        const base::host_id far("far");
        CHECK_FALSE(fleet::remove_unlisted(table, far, now));
        CHECK(fleet::remove_unlisted(table, now).empty());
        CHECK(fleet::possible_host_count(table) == 3);
        SUBCASE("silent")
        {
            CHECK(fleet::remove_unlisted(table, now + 1min) == std::vector<base::host_id>{far});
        }
        SUBCASE("leaving")
        {
            fleet::record_contact(table, make_member("far", "s1", fleet::member_state::leaving),
                                  now);
            CHECK(fleet::remove_unlisted(table, now) == std::vector<base::host_id>{far});
        }
        SUBCASE("listed again")
        {
            fleet::add_listed(table, make_member("far", "s1"));
            CHECK(fleet::remove_unlisted(table, now + 1min).empty());
        }
    }
}

TEST_CASE("exactly one of the live hosts owns a target")
{
    const base::time_point now = base::time_point{} + 1h;
    const std::vector<std::string> names{"a", "b", "c", "d"};
    for (int target = 0; target < 100; ++target) {
        int owners = 0;
        for (const std::string& self : names) {
            fleet::member_table table;
            table.self = base::host_id(self);
            for (const std::string& other : names) {
                fleet::record_contact(table, make_member(other, "n1"), now);
            }
            owners += fleet::is_owner(table, "target-" + std::to_string(target), now) ? 1 : 0;
        }
        CHECK(owners == 1);
    }
}

TEST_CASE("work is distributed without coordination")
{
    const base::time_point now = base::time_point{} + 1h;
    const std::vector<std::string> names{"a", "b", "c", "d", "e", "f"};
    const auto table_of = [&](const std::string& self) {
        fleet::member_table table;
        table.self = base::host_id(self);
        table.own_domain = base::failure_domain_id("n1");
        for (const std::string& other : names) {
            fleet::record_contact(table, make_member(other, "n1"), now);
        }
        return table;
    };
    SUBCASE("one host of a failure domain reads the store for the others")
    {
        int readers = 0;
        for (const std::string& self : names) {
            const auto table = table_of(self);
            readers += fleet::store_reader(table, make_member(self, "n1"), now) ? 0 : 1;
            // When all other hosts are unresponsive, each host reads the store itself.
            CHECK_FALSE(fleet::store_reader(table, make_member(self, "n1"), now + 3s).has_value());
        }
        CHECK(readers == 1);
    }
    SUBCASE("a host that cannot reach the store does not read for the others")
    {
        fleet::member_table table;
        table.self = base::host_id("a");
        table.own_domain = base::failure_domain_id("n1");
        for (const std::string& other : names) {
            fleet::member cut = make_member(other, "n1");
            cut.reads_store = false;
            fleet::record_contact(table, cut, now);
        }
        CHECK_FALSE(fleet::store_reader(table, make_member("a", "n1"), now).has_value());
    }
    SUBCASE("few hosts of a failure domain call the store while it is known to be lost")
    {
        std::size_t callers = 0;
        for (const std::string& self : names) {
            fleet::member_table table = table_of(self);
            for (auto& [id, known] : table.members) {
                known.info.reads_store = false;
            }
            const fleet::member own = make_member(self, "n1");
            const auto reader = fleet::store_reader(table, own, now);
            const auto others = fleet::store_callers(table, own, now);
            if (!reader.has_value()) {
                ++callers;
                CHECK(fleet::store_rank(table, own, now) < fleet::max_store_callers);
                CHECK(others.size() == fleet::max_store_callers - 1);
                continue;
            }
            REQUIRE(others.size() == fleet::max_store_callers);
            CHECK(reader->id == others.front().id);
        }
        CHECK(callers == fleet::max_store_callers);
    }
    SUBCASE("exactly the requested number of hosts own a share")
    {
        int owners = 0;
        for (const std::string& self : names) {
            owners += fleet::is_among_first(table_of(self), "account", 4) ? 1 : 0;
        }
        CHECK(owners == 4);
    }
    SUBCASE("peers of the own failure domain come first, unresponsive peers are left out")
    {
        auto table = table_of("a");
        table.own_domain = base::failure_domain_id("n2");
        fleet::record_contact(table, make_member("near", "n2"), now);
        fleet::add_listed(table, make_member("silent", "n2"));
        const auto peers = fleet::first_peers(table, "account", 10, now);
        REQUIRE(peers.size() == 6);
        CHECK(peers.front().id == base::host_id("near"));
    }
    SUBCASE("the number of messages to remote hosts is bounded")
    {
        fleet::member_table table;
        for (int i = 0; i < 300; ++i) {
            fleet::add_listed(table, make_member("h" + std::to_string(i), "s1"));
        }
        CHECK(300 / fleet::remote_interval_s(table) <= 12);
    }
}
