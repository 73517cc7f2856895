#include "apps/host/relay_store.h"

#include "apps/host/host_context.h"
#include "apps/host/tests/host_fixture.h"
#include "fleet/members.h"
#include "telemetry/metrics.h"

#include <doctest/doctest.h>

using namespace snipeshore;
using namespace apps::tests;
using namespace std::chrono_literals;

// Guards against requests sent to targets too long after they left: a host treated the failure of
// its reader as an outage of the store, after which removed targets are kept for two more seconds.
TEST_CASE("a call to a failed reader falls back to the store")
{
    http::loop loop;
    http::client client(loop, {});
    telemetry::metrics metrics;
    apps::host_settings settings;
    apps::host_context context{settings, loop, client, metrics};
    memory_store store(loop);
    fleet::member self;
    self.id = base::host_id("self");
    self.failure_domain = base::failure_domain_id("z1");
    fleet::member reader = self;
    reader.id = base::host_id("other");
    reader.control_address = free_address();
    reader.reads_store = true;
    context.members.self = self.id;
    context.members.own_domain = self.failure_domain;
    REQUIRE(fleet::record_contact(context.members, reader, base::boot_clock::now()));
    // A leaving host does not read the store, so the other host is the reader.
    self.state = fleet::member_state::leaving;
    apps::relay_store relay(context, self, store, [](std::uint64_t) {});
    store.set("servers", "t1", "{}");

    std::vector<base::result<rows::page>> results;
    const auto call = relay.read_changes("servers", 1, 0ms, [&](base::result<rows::page> result) {
        results.push_back(std::move(result));
    });
    REQUIRE(http::tests::run_until(loop, [&] { return !results.empty(); }));
    REQUIRE(results.size() == 1);
    REQUIRE(base::is_ok(results.front()));
    REQUIRE(base::value_of(results.front()).rows.size() == 1);
    CHECK(base::value_of(results.front()).rows.front().key == "t1");
    CHECK(store.calls == 1);
}
