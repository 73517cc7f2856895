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

// Guards against a version that is not fetched, fetched whole without need, or reverted.
TEST_CASE("polling the published rows")
{
    poll_scenario at;
    at.store.publish("config", text(1));
    at.poll();
    REQUIRE(at.version() == 1);
    at.store.read_objects.clear();

    SUBCASE("a few versions behind, only patches are read")
    {
        at.store.publish("config", text(2));
        at.store.publish("config", text(3));
        at.poll();
        CHECK(at.version() == 3);
        CHECK(at.documents.get("config").text == text(3));
        CHECK(at.store.read_objects ==
              std::deque<std::string>{"documents/config/2.patch", "documents/config/3.patch"});
    }
    SUBCASE("a missing or damaged patch is replaced by the text")
    {
        at.store.publish("config", text(2));
        SUBCASE("missing")
        {
            at.store.objects.erase("documents/config/2.patch");
        }
        SUBCASE("damaged")
        {
            at.store.objects["documents/config/2.patch"] = "[]";
        }
        at.poll();
        CHECK(at.version() == 2);
        CHECK(at.documents.get("config").text == text(2));
    }
    SUBCASE("a text with another digest is not installed")
    {
        at.store.publish("config", text(2));
        at.store.objects.erase("documents/config/2.patch");
        at.store.objects["documents/config/2"] = text(9);
        at.poll();
        CHECK(at.version() == 1);
    }
    SUBCASE("a store restored to an older state is reported, and nothing reverts")
    {
        const auto older = at.store.rows;
        at.store.publish("config", text(2));
        at.poll();
        REQUIRE(at.version() == 2);
        SUBCASE("to an older row")
        {
            at.store.rows = older;
        }
        SUBCASE("to no row")
        {
            at.store.rows.clear();
        }
        at.poll();
        CHECK(at.version() == 2);
        CHECK(at.poller.state_of("config") == documents::store_state::older);
        CHECK(at.installed == 2);
    }
    SUBCASE("an outage leaves the version in force, and polling goes on after it")
    {
        at.store.publish("config", text(2));
        at.store.down = true;
        at.poll();
        CHECK(at.version() == 1);
        at.store.down = false;
        at.poll();
        CHECK(at.version() == 2);
    }
    SUBCASE("reads do not pile up at a slow store")
    {
        at.store.hold = true;
        const auto before = at.store.row_reads;
        for (int round = 0; round < 10; ++round) {
            at.poll();
        }
        CHECK(at.store.row_reads - before == document_names().size());
        at.store.hold = false;
        at.store.publish("config", text(2));
        at.store.release();
        at.poll();
        CHECK(at.version() == 2);
    }
    SUBCASE("a host that is not elected does not read rows")
    {
        const auto before = at.store.row_reads;
        at.poller.tick(at.now + 10s, false);
        CHECK(at.store.row_reads == before);
    }
}
