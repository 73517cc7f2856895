#include "routing/route_table.h"

#include <doctest/doctest.h>

using namespace snipeshore;

namespace {

routing::route make_route(const std::string& prefix,
                          std::vector<routing::weighted_service> services)
{
    routing::route result;
    result.prefix = prefix;
    result.services = std::move(services);
    return result;
}

routing::route_table make_table()
{
    routing::route_table table;
    table.version = 7;
    table.hosts["shop.example"] = {make_route("/a/", {{base::service_id("short"), 1}}),
                                   make_route("/a/b/", {{base::service_id("long"), 1}})};
    routing::account account;
    account.id = base::account_id("coop");
    account.keys = {"k1", "k2"};
    account.homes = {base::region_id("north")};
    table.accounts.push_back(account);
    routing::build_indexes(table);
    return table;
}

} // namespace

TEST_CASE("a request finds its route, account and service")
{
    const routing::route_table table = make_table();
    SUBCASE("the longest prefix wins, so that nested services get their requests")
    {
        const auto found = routing::find_route(table, "Shop.Example:80", "/a/b/c?x=/a/");
        REQUIRE(base::is_ok(found));
        CHECK(base::value_of(found)->services.front().service == base::service_id("long"));
    }
    SUBCASE("a path without the final slash of the prefix does not match")
    {
        CHECK_FALSE(base::is_ok(routing::find_route(table, "shop.example", "/a")));
        CHECK_FALSE(base::is_ok(routing::find_route(table, "other.example", "/a/")));
    }
    SUBCASE("known, unknown and missing keys are distinguished")
    {
        CHECK(base::value_of(routing::find_account(table, "k2"))->id == base::account_id("coop"));
        CHECK(base::error_of(routing::find_account(table, "k3")).kind ==
              base::error_kind::key_unknown);
        CHECK(base::error_of(routing::find_account(table, "")).kind ==
              base::error_kind::key_missing);
    }
    SUBCASE("the home regions of route and account both apply")
    {
        routing::route route = make_route("/a/", {{base::service_id("s"), 1}});
        const routing::account& account = table.accounts.front();
        CHECK(routing::is_home(route, &account, base::region_id("north")));
        CHECK_FALSE(routing::is_home(route, &account, base::region_id("south")));
        route.homes = {base::region_id("south")};
        CHECK_FALSE(routing::is_home(route, &account, base::region_id("north")));
    }
}

TEST_CASE("requests are split by the weights of the services")
{
    const routing::route route = make_route(
        "/a/",
        {{base::service_id("x"), 90}, {base::service_id("none"), 0}, {base::service_id("y"), 10}});
    int to_y = 0;
    constexpr int total = 1000;
    for (int i = 0; i < total; ++i) {
        const std::uint64_t random = UINT64_MAX / total * static_cast<std::uint64_t>(i);
        const base::service_id& service = routing::pick_service(route, random);
        CHECK(service != base::service_id("none"));
        to_y += service == base::service_id("y") ? 1 : 0;
    }
    CHECK(to_y >= 99);
    CHECK(to_y <= 101);
}

TEST_CASE("the priority of the account takes precedence over that of the route")
{
    routing::route urgent;
    urgent.priority = 0;
    routing::account low;
    low.priority = 2;
    routing::route slow;
    slow.priority = 5;
    routing::account high;
    high.priority = 1;
    CHECK(routing::rank_of(slow, &high) < routing::rank_of(urgent, &low));
}
