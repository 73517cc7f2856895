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
