#include "apps/agent/agent_core.h"
#include "apps/agent/dump.h"
#include "apps/agent/peer_calls.h"
#include "apps/agent/tests/fake_store.h"
#include "config/tests/deployments.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <memory>
#include <set>

using namespace snipeshore;
using namespace snipeshore::apps;
using namespace std::chrono_literals;

namespace {

class test_fleet;

/// RPC calls of one agent over the simulated network of the fleet.
class fake_calls final : public peer_calls {
public:
    fake_calls(test_fleet& fleet, std::string from) : m_fleet(fleet), m_from(std::move(from)) {}

    void exchange(const std::string& address, inner::exchange_request request,
                  base::time_point deadline,
                  inner::reply_callback<inner::exchange_reply> done) override;
    void push(const std::string& address, inner::push_request request, base::time_point deadline,
              inner::reply_callback<inner::empty_reply> done) override;
    void probe(const std::string& address, inner::host_record sender, base::time_point deadline,
               inner::reply_callback<inner::host_record> done) override;

private:
    test_fleet& m_fleet;
    std::string m_from;
};

struct test_host {
    std::unique_ptr<fake_calls> calls;
    std::unique_ptr<agent_core> core;
    bool frozen = false;
    bool superseded = false;
};

/// Agents on a network without delay; time advances by ticks.
class test_fleet {
public:
    agent_core& add(const std::string& name, const std::string& domain,
                    std::uint64_t incarnation = 1000, std::vector<std::string> seeds = {})
    {
        auto& host = m_hosts[name + ":1"];
        host.core.reset();
        agent_settings settings;
        settings.self.host = base::host_id(name);
        settings.self.failure_domain = base::failure_domain_id(domain);
        settings.self.incarnation = base::incarnation(incarnation);
        settings.self.agent_address = name + ":1";
        settings.seed = 7;
        settings.seed_addresses = std::move(seeds);
        host.calls = std::make_unique<fake_calls>(*this, name + ":1");
        host.core = std::make_unique<agent_core>(settings, store, *host.calls,
                                                 agent_callbacks{[this] { return now; },
                                                                 [&host] {
                                                                     host.superseded = true;
                                                                 }});
        return *host.core;
    }

    void remove(const std::string& name)
    {
        m_hosts.erase(name + ":1");
    }

    test_host& host(const std::string& name)
    {
        return m_hosts.at(name + ":1");
    }

    agent_core& core(const std::string& name)
    {
        return *host(name).core;
    }

    void run(base::duration time)
    {
        const auto end = now + time;
        while (now < end) {
            now += 100ms;
            for (auto& [address, host] : m_hosts) {
                if (!host.frozen) {
                    host.core->tick();
                }
            }
        }
    }

    /// Null if the peer is frozen or missing, or the link is blocked. The call then fails at once;
    /// a real call fails at its deadline.
    agent_core* reachable_peer(const std::string& from, const std::string& to)
    {
        const auto found = m_hosts.find(to);
        if (found == m_hosts.end() || found->second.frozen ||
            (is_blocked && is_blocked(from, to))) {
            return nullptr;
        }
        return found->second.core.get();
    }

    std::uint64_t version(const std::string& name)
    {
        return core(name).documents().get("config").version.value();
    }

    inner::host_status status(const std::string& viewer, const std::string& seen)
    {
        return core(viewer).members().members.at(base::host_id(seen)).record.status;
    }

    fake_store store;
    base::time_point now{1h};
    std::function<bool(const std::string&, const std::string&)> is_blocked;

private:
    std::map<std::string, test_host> m_hosts;
};

base::error no_reply()
{
    return {base::error_kind::peer_unavailable, "no reply"};
}

void fake_calls::exchange(const std::string& address, inner::exchange_request request,
                          base::time_point /*deadline*/,
                          inner::reply_callback<inner::exchange_reply> done)
{
    auto* const peer = m_fleet.reachable_peer(m_from, address);
    if (peer == nullptr) {
        done(no_reply());
        return;
    }
    peer->service().exchange(std::move(request), std::move(done));
}

void fake_calls::push(const std::string& address, inner::push_request request,
                      base::time_point /*deadline*/, inner::reply_callback<inner::empty_reply> done)
{
    auto* const peer = m_fleet.reachable_peer(m_from, address);
    if (peer == nullptr) {
        done(no_reply());
        return;
    }
    peer->service().push(std::move(request), std::move(done));
}

void fake_calls::probe(const std::string& address, inner::host_record sender,
                       base::time_point /*deadline*/,
                       inner::reply_callback<inner::host_record> done)
{
    auto* const peer = m_fleet.reachable_peer(m_from, address);
    if (peer == nullptr) {
        done(no_reply());
        return;
    }
    peer->service().probe(std::move(sender), std::move(done));
}

std::string config_text(int rate)
{
    auto document = nlohmann::json::parse(config::source_file("config/jasmin.json"));
    document["accounts"][0]["rate"] = rate;
    return document.dump();
}

const std::vector<std::string> all_hosts{"a1", "a2", "a3", "b1", "b2"};

void start_fleet(test_fleet& fleet)
{
    for (const std::string& name : all_hosts) {
        const std::string domain = name.starts_with("a") ? "tunis-a" : "tunis-b";
        fleet.store.hosts.push_back({name, domain, name + ":1", false});
    }
    fleet.store.publish("config", config_text(1));
    for (const auto& host : fleet.store.hosts) {
        fleet.add(host.host_id, host.failure_domain);
    }
    fleet.run(5s);
}

bool all_have(test_fleet& fleet, std::uint64_t version)
{
    return std::all_of(all_hosts.begin(), all_hosts.end(),
                       [&](const auto& name) { return fleet.version(name) == version; });
}

bool all_have_text(test_fleet& fleet, const std::string& text)
{
    const auto canonical = base::value_of(documents::canonical_text(text));
    return std::all_of(all_hosts.begin(), all_hosts.end(), [&](const auto& name) {
        return fleet.core(name).documents().get("config").text == canonical;
    });
}

} // namespace

// Guards against document versions that do not reach some host, or that revert to older ones.
TEST_CASE("documents reach every host")
{
    test_fleet fleet;
    start_fleet(fleet);
    REQUIRE(all_have(fleet, 1));

    SUBCASE("a new version arrives within seconds, although one agent per failure domain reads the "
            "rows")
    {
        fleet.store.row_reads = 0;
        fleet.run(10s);
        CHECK(fleet.store.row_reads <= document_names().size() * 22);
        fleet.store.publish("config", config_text(2));
        fleet.run(2s);
        CHECK(all_have(fleet, 2));
        CHECK(fleet.core("a2").documents().get("config").history.size() == 1);
    }
    SUBCASE("a host that starts while the store is down gets the documents from its peers")
    {
        fleet.store.down = true;
        SUBCASE("at its old address")
        {
            fleet.remove("a2");
            fleet.run(1s);
            fleet.add("a2", "tunis-a", 2000);
            fleet.run(3s);
            CHECK(fleet.version("a2") == 1);
        }
        SUBCASE("at a new address, with a peer in its settings")
        {
            fleet.add("a9", "tunis-a", 2000, {"b1:1"});
            fleet.run(3s);
            CHECK(fleet.version("a9") == 1);
            CHECK(fleet.status("a1", "a9") == inner::host_status::live);
        }
    }
    SUBCASE("a failure domain that was partitioned from the others catches up")
    {
        fleet.is_blocked = [](const std::string& from, const std::string& to) {
            return from.front() != to.front();
        };
        fleet.run(1s);
        fleet.store.publish("config", config_text(2));
        fleet.run(2s);
        fleet.is_blocked = nullptr;
        fleet.run(5s);
        CHECK(all_have(fleet, 2));
    }
    SUBCASE("restoring the store to an older state reverts no host, not even a restarted one")
    {
        const auto older = fleet.store.rows;
        fleet.store.publish("config", config_text(2));
        fleet.run(3s);
        fleet.store.rows = older;
        fleet.run(3s);
        CHECK(all_have(fleet, 2));
        fleet.add("b1", "tunis-b", 2000);
        fleet.run(5s);
        CHECK(all_have(fleet, 2));
    }
    SUBCASE("a host that starts after a restoration and reaches only the store gets the version "
            "that was lost")
    {
        const auto older = fleet.store.copy();
        fleet.store.publish("config", config_text(2));
        fleet.run(3s);
        fleet.store.restore(older);
        fleet.run(3s);
        fleet.is_blocked = [](const std::string&, const std::string&) {
            return true;
        };
        fleet.add("b1", "tunis-b", 2000);
        fleet.run(5s);
        CHECK(fleet.version("b1") == 2);
    }
    SUBCASE("what is published after a restoration reaches hosts with lost versions and hosts that "
            "know only the restored one")
    {
        const auto older = fleet.store.copy();
        fleet.is_blocked = [](const std::string& from, const std::string& to) {
            return from.front() != to.front();
        };
        fleet.host("b1").frozen = true;
        fleet.host("b2").frozen = true;
        fleet.store.publish("config", config_text(2));
        fleet.run(2s);
        REQUIRE(fleet.version("a1") == 2);
        REQUIRE(fleet.version("b1") == 1);
        fleet.store.restore(older);
        fleet.store.publish("config", config_text(3));
        fleet.host("b1").frozen = false;
        fleet.host("b2").frozen = false;
        fleet.is_blocked = nullptr;
        fleet.run(10s);
        CHECK(all_have_text(fleet, config_text(3)));
        fleet.store.publish("config", config_text(4));
        fleet.run(5s);
        CHECK(all_have_text(fleet, config_text(4)));
    }
}

// Guards against dead hosts that stay in use, and live hosts that are excluded.
TEST_CASE("hosts that fail, freeze, restart and leave")
{
    test_fleet fleet;
    start_fleet(fleet);

    SUBCASE("a failed host is marked dead everywhere, and live again after its restart")
    {
        fleet.remove("a2");
        fleet.run(10s);
        CHECK(fleet.status("a1", "a2") == inner::host_status::dead);
        CHECK(fleet.status("b1", "a2") == inner::host_status::dead);
        fleet.add("a2", "tunis-a", 500); // Lower incarnation: its clock was set back.
        fleet.run(5s);
        CHECK(fleet.status("a1", "a2") == inner::host_status::live);
        CHECK(fleet.status("b2", "a2") == inner::host_status::live);
    }
    SUBCASE("a host that was frozen marks no other host dead and becomes live again")
    {
        fleet.host("a2").frozen = true;
        fleet.run(30s);
        CHECK(fleet.status("a1", "a2") == inner::host_status::dead);
        fleet.host("a2").frozen = false;
        fleet.run(100ms);
        CHECK(fleet.status("a2", "a1") == inner::host_status::live);
        CHECK(fleet.status("a2", "a3") == inner::host_status::live);
        fleet.run(5s);
        CHECK(fleet.status("b1", "a2") == inner::host_status::live);
    }
    SUBCASE("a leaving host notifies its peers")
    {
        bool done = false;
        fleet.core("a2").leave([&] { done = true; });
        CHECK(done);
        CHECK(fleet.status("a1", "a2") == inner::host_status::leaving);
        CHECK(fleet.status("b1", "a2") == inner::host_status::leaving);
    }
    SUBCASE("a process that was replaced under its host id is notified")
    {
        auto record = fleet.core("a2").self();
        record.incarnation = base::incarnation(2000);
        record.agent_address = "elsewhere:1";
        fleet.core("a2").service().push({{}, {record}}, [](const auto&) {});
        CHECK(fleet.host("a2").superseded);
    }
}

// Guards against local processes that use an outdated state without detecting it.
TEST_CASE("watch calls of local processes")
{
    test_fleet fleet;
    start_fleet(fleet);
    agent_core& agent = fleet.core("a1");
    const auto service = agent.service();
    std::optional<inner::snapshot> received;
    int replies = 0;
    const inner::reply_sender<inner::snapshot> reply =
        [&](const base::result<inner::snapshot>& result) {
            ++replies;
            received = base::is_ok(result) ? std::optional(base::value_of(result)) : std::nullopt;
        };
    const auto cursor_of = [](const inner::snapshot& snapshot) {
        return inner::cursor{
            {{"config", 1}}, snapshot.members_revision, snapshot.steering_revision};
    };
    service.watch({}, {}, reply);
    REQUIRE(received);
    REQUIRE(received->documents.size() == 1);
    CHECK(received->documents[0].version == 1);
    CHECK(received->members.size() == all_hosts.size());
    CHECK(received->listed_known);
    CHECK(received->listed_hosts.size() == all_hosts.size());
    CHECK_FALSE(received->weights.empty());
    CHECK(received->contact_age < 3s);
    const auto first = *received;

    SUBCASE("a new version is sent as a patch at once")
    {
        fleet.run(100ms);
        service.watch(cursor_of(first), {}, reply);
        fleet.store.publish("config", config_text(2));
        fleet.run(2s);
        CHECK(replies >= 2);
        service.watch(cursor_of(first), {}, reply);
        REQUIRE(received->documents.size() == 1);
        CHECK(received->documents[0].patches.size() == 1);
        CHECK(received->documents[0].base_version == 1);
    }
    SUBCASE("without updates the reply comes after one second")
    {
        fleet.host("a1").frozen = true;
        service.watch(cursor_of(first), {}, reply);
        CHECK(replies == 1);
        fleet.run(1s);
        agent.tick();
        CHECK(replies == 2);
    }
    SUBCASE("the host record contains the state of the entry until the entry stops reporting")
    {
        service.watch({}, {base::incarnation(5), 6, false, 1, {}}, reply);
        CHECK(agent.self().entry_incarnation == base::incarnation(5));
        CHECK(agent.self().ticket_epoch == 6);
        CHECK(agent.self().entry_config_version == 1);
        fleet.run(2s);
        CHECK(fleet.core("b1").members().members.at(base::host_id("a1")).record.entry_incarnation ==
              base::incarnation(5));
        fleet.run(2s);
        CHECK(agent.self().entry_incarnation == base::incarnation(0));
    }
    SUBCASE("a host whose entry leaves is leaving, and live after the restart of the entry")
    {
        service.watch({}, {base::incarnation(5), 6, true, 1, {}}, reply);
        CHECK(agent.self().status == inner::host_status::leaving);
        service.watch({}, {base::incarnation(7), 6, false, 1, {}}, reply);
        CHECK(agent.self().status == inner::host_status::live);
    }
    SUBCASE("weights move away from a partitioned failure domain and back after the partition")
    {
        fleet.core("b1").service().watch({}, {base::incarnation(5), 6, false, 1, {}}, reply);
        const auto tunis_b_weight = [&] {
            fleet.core("b1").service().watch({}, {base::incarnation(5), 6, false, 1, {}},
                                             [](const auto&) {});
            std::uint32_t sum = 0;
            for (const auto& row : agent.steering().weights()) {
                sum += row.failure_domains[0] == "tunis-b" ? row.weights[0] : 0;
            }
            return sum;
        };
        const auto run_with_entry = [&](int seconds) {
            for (int second = 0; second < seconds; ++second) {
                fleet.run(1s);
                tunis_b_weight();
                // A lookup reports about once per second; without reports its demand is unknown
                // and no traffic is shifted.
                service.watch({}, {}, reply);
            }
        };
        run_with_entry(3);
        CHECK(tunis_b_weight() > 0);
        fleet.is_blocked = [](const std::string& from, const std::string& to) {
            return from.front() != to.front();
        };
        run_with_entry(20);
        CHECK(tunis_b_weight() == 0);
        fleet.is_blocked = nullptr;
        run_with_entry(5);
        CHECK(tunis_b_weight() > 0);
    }
    SUBCASE(
        "the contact age grows while the host is isolated from the store and other failure domains")
    {
        fleet.store.down = true;
        fleet.is_blocked = [](const std::string& from, const std::string& to) {
            return from.front() != to.front();
        };
        fleet.run(20s);
        service.watch({}, {}, reply);
        CHECK(received->contact_age >= 19s);
        CHECK(received->contact_age < 25s);
    }
    SUBCASE("the dump shows the current versions")
    {
        const auto dump = dump_agent(agent);
        CHECK(dump["versions"]["config"] == 1);
        CHECK(dump["members"].size() == all_hosts.size());
        CHECK(dump["documents"]["config"]["store"] == "same");
    }
}
