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
