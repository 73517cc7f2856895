#include "apps/host/tests/host_fixture.h"

#include "http/exchange.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace snipeshore;
using namespace apps::tests;

namespace {

/// About the largest depth that fits into a row of the store.
constexpr std::size_t row_depth = 30'000;

const http::header_list with_key{{"x-key", "key"}, {"x-attempt-id", "id-1"}};

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

std::string header(const reply& from, std::string_view name)
{
    return std::string(http::find_header(from.headers, name).value_or(""));
}

std::string entry_with(const std::string& fields)
{
    return R"({"service":"svc","zone":"z1","state":"ready")" + fields + "}";
}

} // namespace

// Guards against one odd entry of another writer that ends every host that reads the table, again
// after each start, or keeps the hosts from following the table.
TEST_CASE("one odd entry of a target does not affect the other targets")
{
    const std::string address = R"(,"address":"127.0.0.1:9")";
    const std::string numbers = R"(,"slots":4,"sequence":1)";
    std::string odd;
    SUBCASE("nested deeply in a field that is read")
    {
        odd = entry_with(address + numbers + R"(,"coldRemaining":)" + nested(row_depth));
    }
    SUBCASE("nested deeply in an unknown field")
    {
        odd = entry_with(address + numbers + R"(,"note":)" + nested(row_depth));
    }
    SUBCASE("nested deeply instead of an entry")
    {
        odd = nested(row_depth);
    }
    SUBCASE("nested deeply without an end")
    {
        odd = std::string(row_depth, '[');
    }
    SUBCASE("a number that is too large for any type")
    {
        odd = entry_with(address + R"(,"slots":1e999,"sequence":1)");
    }
    SUBCASE("a cold time that overflows a time")
    {
        odd = entry_with(address + numbers + R"(,"coldRemaining":"1e300s")");
    }
    SUBCASE("a port out of range")
    {
        odd = entry_with(R"(,"address":"127.0.0.1:99999")" + numbers);
    }
    host_fixture host(plain_config);
    host.store.set("servers", "odd", odd);
    test_target target(host.loop, respond_success);
    host.add_target("t1", target.address());
    host.await_targets(1);
    CHECK(host.send("/safe/x", with_key).status == 200);
    SUBCASE("the table is followed: a later target is learned")
    {
        host.add_target("t2", target.address());
        host.await_targets(2);
    }
}

// Guards against a host that goes on using the former entry of a target, although hosts that start
// later do not know the target.
TEST_CASE("a known target whose entry becomes unreadable is not used until the next readable entry")
{
    host_fixture host(plain_config);
    test_target first(host.loop, respond_success);
    test_target second(host.loop, respond_success);
    host.add_target("t1", first.address());
    host.add_target("t2", second.address());
    host.await_targets(2);
    host.store.set("servers", "t1", R"({"service":"svc","state":7})");
    host.await_targets(1);
    const int before = first.requests;
    for (int i = 0; i < 8; ++i) {
        CHECK(host.send("/safe/x" + std::to_string(i), with_key).status == 200);
    }
    CHECK(first.requests == before);
    host.add_target("t1", first.address());
    host.await_targets(2);
}

// Guards against a listed host that no removal of a row removes, and against odd rows of hosts.
TEST_CASE("an odd row of a host is not taken for a host")
{
    host_fixture host(plain_config);
    const std::string member = R"(["h2","z1","127.0.0.1:9","127.0.0.1:9",7,1])";
    host.store.set("hosts", "h2", member);
    host.store.set("hosts", "other", member);
    host.store.set("hosts", "deep", nested(row_depth));
    host.store.set("hosts", "h3", R"(["h3","z1","127.0.0.1:9","127.0.0.1:9",-7,1])");
    host.store.set("hosts", "h4", R"(["h4","z1","127.0.0.1:9","127.0.0.1:9",7,1])");
    const auto is_listed = [&](const std::string& id) {
        return host.app->dump()["hosts"].contains(id);
    };
    REQUIRE(host.run_until([&] { return is_listed("h4"); }));
    CHECK(is_listed("h2"));
    CHECK_FALSE(is_listed("h3"));
    host.store.set("hosts", "h2", std::nullopt);
    host.store.set("hosts", "other", member + " ");
    host.store.set("hosts", "h5", R"(["h5","z1","127.0.0.1:9","127.0.0.1:9",7,1])");
    REQUIRE(host.run_until([&] { return is_listed("h5"); }));
    CHECK_FALSE(is_listed("h2"));
}

// Guards against entries that make the state of every host and the messages between hosts grow: a
// message has an item for each service with a pool, and a name may be as long as a row.
TEST_CASE("an entry of an unknown service is used only when a configuration names the service")
{
    host_fixture host(plain_config);
    test_target target(host.loop, respond_success);
    host.add_target("t1", target.address());
    const auto entry_of = [&](const std::string& service) {
        return R"({"service":")" + service + R"(","zone":"z1","slots":4,"state":"ready",)" +
               R"("sequence":1,"address":")" + target.address() + "\"}";
    };
    host.store.set("servers", "odd", entry_of(std::string(row_depth, 's')));
    host.store.set("servers", "t2", entry_of("new"));
    host.await_targets(3);
    CHECK(host.app->dump()["services"].size() == 1);
    CHECK(host.send("/safe/x", with_key).status == 200);
    std::string next = plain_config;
    next.replace(next.find("00000005"), 8, "00000006");
    next.replace(next.find(R"({"name":"svc")"), 0, R"({"name":"new"},)");
    const std::string route =
        R"("kind":"safe","timeout":"2s","targetLatency":"1s","service":"svc")";
    next.replace(next.find(route) + route.size() - 4, 3, "new");
    host.store.set("op", "config", next);
    REQUIRE(host.run_until([&] { return host.app->dump()["services"].size() == 2; }));
    CHECK(header(host.send("/safe/x", with_key), "seen-x-target-instance") == "t2");
    SUBCASE("targets of a service that is no longer named stay known for requests in progress")
    {
        std::string last = plain_config;
        last.replace(last.find("00000005"), 8, "00000007");
        host.store.set("op", "config", last);
        REQUIRE(host.run_until([&] { return host.app->dump()["config_version"] == 7; }));
        CHECK(host.app->dump()["services"]["new"]["targets"].size() == 1);
    }
}
