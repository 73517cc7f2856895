#include "apps/agent/document_set.h"
#include "apps/agent/store_poller.h"
#include "apps/agent/tests/fake_store.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace snipeshore;
using namespace snipeshore::apps;
using namespace std::chrono_literals;

namespace {

struct poll_scenario {
    fake_store store;
    document_set documents;
    int installed = 0;
    base::time_point now{1h};
    store_poller poller{store,
                        documents,
                        {},
                        {[this] { ++installed; }, [](auto) {},
                         [] {
                         }}};

    void poll()
    {
        now += 1s;
        poller.tick(now, true);
    }

    std::uint64_t version() const
    {
        return documents.get("config").version.value();
    }
};

std::string text(int value)
{
    return base::value_of(documents::canonical_text(R"({"filler":")" + std::string(500, 'x') +
                                                    R"(","value":)" + std::to_string(value) + "}"));
}

} // namespace

// Guards against a host that is taken to have left the fleet, so that its share goes to others,
// because a restored store has lost its entry for a moment.
TEST_CASE("reading the host list")
{
    poll_scenario scenario;
    const auto listed = [&] {
        std::vector<std::string> hosts;
        for (const membership::seed& seed : scenario.poller.seeds()) {
            hosts.push_back(seed.host.value());
        }
        std::sort(hosts.begin(), hosts.end());
        return hosts;
    };
    const auto read_list = [&] {
        scenario.now += poller_settings{}.list_interval;
        scenario.poller.tick(scenario.now, false);
    };
    using hosts = std::vector<std::string>;
    const store::listed_host first{"h1", "a", "h1:1", false};
    const store::listed_host second{"h2", "a", "h2:1", false};
    scenario.store.hosts = {first, second};
    read_list();
    REQUIRE(listed() == hosts{"h1", "h2"});

    SUBCASE("a host that is missing from one reading only stays listed")
    {
        scenario.store.hosts = {first};
        read_list();
        CHECK(listed() == hosts{"h1", "h2"});
        scenario.store.hosts = {first, {"h2", "a", "h2:2", false}};
        read_list();
        CHECK(listed() == hosts{"h1", "h2"});
        REQUIRE(scenario.poller.seeds().size() == 2);
        CHECK(scenario.poller.seeds().back().agent_address == "h2:2");
    }
    SUBCASE("a host that is missing from two readings is not listed")
    {
        scenario.store.hosts = {first};
        read_list();
        SUBCASE("one after the other")
        {
            read_list();
        }
        SUBCASE("with an outage between them")
        {
            scenario.store.down = true;
            read_list();
            CHECK(listed() == hosts{"h1", "h2"});
            scenario.store.down = false;
            read_list();
        }
        CHECK(listed() == hosts{"h1"});
    }
    SUBCASE("a host that replaced another one is listed at once")
    {
        scenario.store.hosts = {first, {"h3", "a", "h3:1", false}};
        read_list();
        CHECK(listed() == hosts{"h1", "h2", "h3"});
        read_list();
        CHECK(listed() == hosts{"h1", "h3"});
    }
}

// Guards against a version that is not fetched, is fetched in full without need, or is reverted.
TEST_CASE("polling the published rows")
{
    poll_scenario scenario;
    scenario.store.publish("config", text(1));
    scenario.poll();
    REQUIRE(scenario.version() == 1);
    scenario.store.read_objects.clear();

    SUBCASE("only patches are read if the document is a few versions behind")
    {
        scenario.store.publish("config", text(2));
        scenario.store.publish("config", text(3));
        scenario.poll();
        CHECK(scenario.version() == 3);
        CHECK(scenario.documents.get("config").text == text(3));
        CHECK(scenario.store.read_objects ==
              std::deque<std::string>{"documents/config/2.patch", "documents/config/3.patch"});
    }
    SUBCASE("the full text is read if a patch is missing or damaged")
    {
        scenario.store.publish("config", text(2));
        SUBCASE("missing")
        {
            scenario.store.objects.erase("documents/config/2.patch");
        }
        SUBCASE("damaged")
        {
            scenario.store.objects["documents/config/2.patch"] = "[]";
        }
        scenario.poll();
        CHECK(scenario.version() == 2);
        CHECK(scenario.documents.get("config").text == text(2));
    }
    SUBCASE("a text that does not match its digest is not installed")
    {
        scenario.store.publish("config", text(2));
        scenario.store.objects.erase("documents/config/2.patch");
        scenario.store.objects["documents/config/2"] = text(9);
        scenario.poll();
        CHECK(scenario.version() == 1);
    }
    SUBCASE("a store restored to an older state is reported, and no document reverts")
    {
        const auto older = scenario.store.rows;
        scenario.store.publish("config", text(2));
        scenario.poll();
        REQUIRE(scenario.version() == 2);
        SUBCASE("to an older row")
        {
            scenario.store.rows = older;
        }
        SUBCASE("to no row")
        {
            scenario.store.rows.clear();
        }
        scenario.poll();
        CHECK(scenario.version() == 2);
        CHECK(scenario.poller.state_of("config") == documents::store_state::older);
        // Without a new era of the store, the row may be an old reply.
        CHECK(scenario.store.published("config").row_version < 2);
        CHECK(scenario.installed == 2);
    }
    SUBCASE("what is published after a restoration replaces the lost versions")
    {
        const auto older = scenario.store.copy();
        SUBCASE("when one version was lost, whose number would be the next")
        {
            scenario.store.publish("config", text(2));
        }
        SUBCASE("when several versions were lost")
        {
            scenario.store.publish("config", text(2));
            scenario.store.publish("config", text(3));
            scenario.store.publish("config", text(4));
        }
        scenario.poll();
        const std::string lost = scenario.documents.get("config").text;
        scenario.store.restore(older);
        scenario.poll();
        CHECK(scenario.documents.get("config").text == lost);
        scenario.store.publish("config", text(5));
        scenario.poll();
        CHECK(scenario.documents.get("config").text == text(5));
        CHECK(scenario.poller.state_of("config") == documents::store_state::same);
        scenario.store.publish("config", text(6));
        scenario.poll();
        CHECK(scenario.documents.get("config").text == text(6));
    }
    SUBCASE("a version that a restored store has lost is written to it again")
    {
        const auto older = scenario.store.copy();
        scenario.store.publish("config", text(2));
        scenario.poll();
        REQUIRE(scenario.version() == 2);
        SUBCASE("if the store has an older version")
        {
            scenario.store.restore(older);
            scenario.poll();
            CHECK(scenario.store.published("config").record->previous_ids ==
                  std::vector<std::string>{"id1"});
        }
        SUBCASE("if the store has none")
        {
            scenario.store.restore({});
            scenario.poll();
        }
        SUBCASE("after another outage")
        {
            scenario.store.restore(older);
            scenario.store.down = true;
            scenario.poll();
            scenario.store.down = false;
            scenario.poll();
        }
        CHECK(scenario.store.published("config").record->version.value() == 2);
        CHECK(scenario.store.objects.at("documents/config/2") == text(2));
        CHECK(scenario.version() == 2);
        scenario.poll();
        CHECK(scenario.poller.state_of("config") == documents::store_state::same);
    }
    SUBCASE("a lost version does not replace what an operator publishes after the restoration")
    {
        const auto older = scenario.store.copy();
        scenario.store.publish("config", text(2));
        scenario.poll();
        scenario.store.restore(older);
        scenario.store.defer = true;
        scenario.poll();
        scenario.store.run_deferred(); // The row is read.
        scenario.store.run_deferred(); // The object is written.
        scenario.store.publish("config", text(5));
        scenario.store.run_deferred();
        scenario.store.defer = false;
        scenario.poll();
        CHECK(scenario.store.published("config").record->digest == documents::digest_of(text(5)));
        CHECK(scenario.documents.get("config").text == text(5));
    }
    SUBCASE("the version is kept during a store outage, and polling continues after it")
    {
        scenario.store.publish("config", text(2));
        scenario.store.down = true;
        scenario.poll();
        CHECK(scenario.version() == 1);
        scenario.store.down = false;
        scenario.poll();
        CHECK(scenario.version() == 2);
    }
    SUBCASE("reads do not accumulate while the store is slow")
    {
        scenario.store.defer = true;
        const auto before = scenario.store.row_reads;
        for (int round = 0; round < 10; ++round) {
            scenario.poll();
        }
        CHECK(scenario.store.row_reads - before == document_names().size());
        scenario.store.defer = false;
        scenario.store.publish("config", text(2));
        scenario.store.run_deferred();
        scenario.poll();
        CHECK(scenario.version() == 2);
    }
    SUBCASE("a host that is not elected does not read rows")
    {
        const auto before = scenario.store.row_reads;
        scenario.poller.tick(scenario.now + 10s, false);
        CHECK(scenario.store.row_reads == before);
    }
}
