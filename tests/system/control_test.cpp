#include "tests/support/fleet.h"
#include "tests/system/test_routes.h"

#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <fstream>

using namespace snipeshore;
using namespace snipeshore::test;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

// Required limits: a configuration change is in force within 15 s, and a withdrawn key is rejected
// within 5 s.
constexpr auto config_bound = 15s;
constexpr auto key_bound = 5s;

fleet_settings three_hosts()
{
    fleet_settings settings;
    settings.failure_domains = {"tunis-a", "tunis-b", "sfax-a"};
    settings.hosts_per_domain = 1;
    settings.edit = add_test_routes;
    return settings;
}

bool is_in_force(fleet& fleet, const std::string& name, std::uint64_t version)
{
    for (const std::string& host : fleet.host_ids()) {
        const json dump = fleet.entry_dump(host);
        if (!dump.is_object() || dump["versions"][name] != version) {
            return false;
        }
    }
    return true;
}

/// Whether every agent has the configuration with this digest and its entry uses the same version.
bool has_digest_everywhere(fleet& fleet, const std::string& digest)
{
    for (const std::string& host : fleet.host_ids()) {
        const json agent = fleet.agent_dump(host);
        const json entry = fleet.entry_dump(host);
        if (!agent.is_object() || agent["documents"]["config"]["digest"] != digest ||
            !entry.is_object() || entry["versions"]["config"] != agent["versions"]["config"]) {
            return false;
        }
    }
    return true;
}

bool is_accepted_everywhere(fleet& fleet, const std::string& key)
{
    for (const std::string& host : fleet.host_ids()) {
        if (fleet.send(host, "order-desk", get_with_key("/echo", key)).status != 200) {
            return false;
        }
    }
    return true;
}

bool is_rejected_everywhere(fleet& fleet, const std::string& key)
{
    for (const std::string& host : fleet.host_ids()) {
        if (fleet.send(host, "order-desk", get_with_key("/echo", key)).status != 401) {
            return false;
        }
    }
    return true;
}

void take_snapshot(fleet& fleet)
{
    REQUIRE(fleet.session()
                .send({.address = fleet.platform_address(), .method = "POST", .path = "/snapshot"})
                .status < 300);
}

} // namespace

// Guards against a configuration change that does not reach every host, a withdrawn key that is
// still accepted, and a configuration that reverts to an older version after an outage, a restart
// or a restore of the store.
TEST_CASE("configuration and keys are in force everywhere and never revert")
{
    fleet fleet(three_hosts());
    REQUIRE(fleet.await_ready(30s));
    const std::string key = fleet.grant_key(fleet.document()["accounts"][0]["id"]);
    REQUIRE(fleet.session().run_until([&] { return is_accepted_everywhere(fleet, key); },
                                      base::boot_clock::now() + 20s));

    SUBCASE("a withdrawn key is rejected although its caller is connected")
    {
        REQUIRE(fleet.withdraw_key(key).status == 0);
        CHECK(fleet.session().run_until([&] { return is_rejected_everywhere(fleet, key); },
                                        base::boot_clock::now() + key_bound));
    }
    SUBCASE("a new configuration is in force within the bound on every host")
    {
        fleet.document()["accounts"][0]["rate"] = 7;
        REQUIRE(fleet.publish().status == 0);
        CHECK(fleet.session().run_until([&] { return is_in_force(fleet, "config", 2); },
                                        base::boot_clock::now() + config_bound));
    }
    SUBCASE("while the store is down, hosts serve traffic and a restarted host loads its state "
            "from peers")
    {
        const std::string restarted = fleet.host_ids().front();
        fleet.set_platform_faults({{"down", true}});
        CHECK(is_accepted_everywhere(fleet, key));
        host_processes& host = fleet.host(restarted);
        for (process* child : {host.agent.get(), host.entry_program.get()}) {
            child->send_signal(SIGKILL);
            child->wait_exit(base::boot_clock::now() + 5s);
        }
        fleet.start_agent(host);
        fleet.start_entry(host);
        CHECK(fleet.session().run_until([&] { return is_in_force(fleet, "config", 1); },
                                        base::boot_clock::now() + config_bound));
        CHECK(fleet.session().run_until([&] { return is_accepted_everywhere(fleet, key); },
                                        base::boot_clock::now() + 15s));
    }
    SUBCASE("after the store is restored to an older state, no host reverts its configuration")
    {
        take_snapshot(fleet);
        fleet.document()["accounts"][0]["rate"] = 7;
        REQUIRE(fleet.publish().status == 0);
        REQUIRE(fleet.session().run_until([&] { return is_in_force(fleet, "config", 2); },
                                          base::boot_clock::now() + config_bound));
        fleet.set_platform_faults({{"restore", true}});
        // A restarted agent reads the older version from the store and must still obtain the newer
        // version.
        const std::string restarted = fleet.host_ids().front();
        fleet.host(restarted).agent->send_signal(SIGKILL);
        fleet.host(restarted).agent->wait_exit(base::boot_clock::now() + 5s);
        fleet.start_agent(fleet.host(restarted));
        REQUIRE(fleet.session().run_until(
            [&] {
                const json dump = fleet.agent_dump(restarted);
                return dump.is_object() && dump["versions"]["config"] == 2;
            },
            base::boot_clock::now() + config_bound));
        CHECK(is_in_force(fleet, "config", 2));
    }
    SUBCASE("what is published after a restoration of the store is in force on every host, and a "
            "withdrawn key stays withdrawn")
    {
        take_snapshot(fleet);
        fleet.document()["accounts"][0]["rate"] = 7;
        REQUIRE(fleet.publish().status == 0);
        REQUIRE(fleet.withdraw_key(key).status == 0);
        REQUIRE(fleet.session().run_until(
            [&] { return is_in_force(fleet, "config", 2) && is_rejected_everywhere(fleet, key); },
            base::boot_clock::now() + config_bound));
        fleet.set_platform_faults({{"restore", true}});
        // A restarted agent knows only what the store and its peers tell it.
        host_processes& restarted = fleet.host(fleet.host_ids().front());
        restarted.agent->send_signal(SIGKILL);
        restarted.agent->wait_exit(base::boot_clock::now() + 5s);
        fleet.start_agent(restarted);
        fleet.document()["accounts"][0]["rate"] = 9;
        REQUIRE(fleet.publish().status == 0);
        const json published = json::parse(fleet.ctl({"show", "config", "--json"}).output);
        CHECK(fleet.session().run_until(
            [&] { return has_digest_everywhere(fleet, published["digest"]); },
            base::boot_clock::now() + config_bound));
        CHECK(is_rejected_everywhere(fleet, key));
        // Agents write the lost withdrawal to the store again, so later edits are based on it.
        REQUIRE(fleet.session().run_until(
            [&] {
                return json::parse(fleet.ctl({"show", "keys", "--json"}).output)["version"] == 2;
            },
            base::boot_clock::now() + config_bound));
        const std::string other = fleet.grant_key(fleet.document()["accounts"][0]["id"]);
        CHECK(fleet.session().run_until([&] { return is_accepted_everywhere(fleet, other); },
                                        base::boot_clock::now() + config_bound));
        CHECK(is_rejected_everywhere(fleet, key));
    }
    SUBCASE("an agent that is suspended while a key is withdrawn rejects the key after it resumes")
    {
        const std::string suspended = fleet.host_ids().back();
        fleet.host(suspended).agent->send_signal(SIGSTOP);
        REQUIRE(fleet.withdraw_key(key).status == 0);
        REQUIRE(fleet.session().run_until(
            [&] {
                return fleet
                           .send(fleet.host_ids().front(), "order-desk", get_with_key("/echo", key))
                           .status == 401;
            },
            base::boot_clock::now() + key_bound));
        fleet.host(suspended).agent->send_signal(SIGCONT);
        CHECK(fleet.session().run_until([&] { return is_rejected_everywhere(fleet, key); },
                                        base::boot_clock::now() + key_bound));
    }
    SUBCASE(
        "of two publications with the same base version, the second fails and reports the conflict")
    {
        json first = fleet.document();
        first["accounts"][0]["rate"] = 8;
        json second = fleet.document();
        second["accounts"][0]["rate"] = 9;
        const std::string first_path = fleet.folder() + "/first.json";
        const std::string second_path = fleet.folder() + "/second.json";
        std::ofstream(first_path) << first.dump();
        std::ofstream(second_path) << second.dump();
        const command_result won = fleet.ctl({"publish", first_path, "--base=1"});
        const command_result lost = fleet.ctl({"publish", second_path, "--base=1"});
        CHECK(won.status == 0);
        CHECK(lost.status != 0);
        CHECK(lost.output.find("rate") != std::string::npos);
        CHECK(fleet.session().run_until([&] { return is_in_force(fleet, "config", 2); },
                                        base::boot_clock::now() + config_bound));
    }
    SUBCASE("a publication whose response is lost is detected and not repeated")
    {
        fleet.document()["accounts"][0]["rate"] = 7;
        fleet.set_platform_faults({{"lose_replies", 1}});
        const command_result published = fleet.publish();
        CHECK(published.status == 0);
        CHECK(fleet.session().run_until([&] { return is_in_force(fleet, "config", 2); },
                                        base::boot_clock::now() + config_bound));
    }
}
