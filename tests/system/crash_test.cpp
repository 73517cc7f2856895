#include "tests/support/fleet.h"
#include "tests/system/test_routes.h"

#include <doctest/doctest.h>

#include <chrono>

using namespace snipeshore;
using namespace snipeshore::test;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr int crash_status = 42; ///< Exit status of the stand-in target after a request to /crash.

fleet_settings many_targets()
{
    fleet_settings settings = two_domains();
    settings.targets_per_domain = 4;
    return settings;
}

std::vector<std::string> target_ids(fleet& fleet)
{
    std::vector<std::string> ids;
    for (const json& service : fleet.document()["services"]) {
        for (const json& target : service["targets"]) {
            ids.push_back(target["id"]);
        }
    }
    return ids;
}

std::size_t crashed_targets(fleet& fleet)
{
    std::size_t count = 0;
    for (const std::string& id : target_ids(fleet)) {
        const auto exit = fleet.target(id).wait_exit(base::boot_clock::now());
        count += exit == crash_status ? 1 : 0;
    }
    return count;
}

} // namespace

// Guards against a request that crashes many targets because hosts retry it or because its caller
// sends it again to other hosts.
TEST_CASE("a request that crashes its targets is quarantined after two crashes in the whole fleet")
{
    fleet fleet(many_targets());
    REQUIRE(fleet.await_ready(30s));
    const std::string key = fleet.grant_key(fleet.document()["accounts"][0]["id"]);
    for (const std::string& host : fleet.host_ids()) {
        REQUIRE(fleet.session().run_until(
            [&] {
                return fleet.send(host, "order-desk", get_with_key("/echo", key)).status == 200;
            },
            base::boot_clock::now() + 15s));
    }
    const std::vector<std::string> hosts = fleet.host_ids();
    for (int round = 0; round < 6; ++round) {
        const std::string& host = hosts[static_cast<std::size_t>(round) % hosts.size()];
        CHECK(fleet.send(host, "order-desk", get_with_key("/crash?id=1", key)).status >= 400);
    }
    CHECK(crashed_targets(fleet) == 2);
    for (const std::string& host : hosts) {
        const http_response refused =
            fleet.send(host, "order-desk", get_with_key("/crash?id=1", key));
        CHECK(refused.header("snipeshore-error") == "quarantined");
        CHECK(fleet.send(host, "order-desk", get_with_key("/echo", key)).status == 200);
    }
}
