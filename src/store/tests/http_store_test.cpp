#include "store/http_store.h"

#include "http/loop.h"
#include "store/internal/replies.h"
#include "tests/standins/platform/platform_server.h"

#include <doctest/doctest.h>

#include <chrono>
#include <optional>

using namespace snipeshore;
using namespace snipeshore::store;

namespace {

constexpr std::chrono::seconds max_wait{30};

/// Runs the loop until `stop_when` returns true; returns false if that takes longer than
/// `max_wait`.
bool run_until(http::loop& loop, const std::function<bool()>& stop_when)
{
    const base::time_point limit = base::boot_clock::now() + max_wait;
    const std::chrono::milliseconds interval{1};
    std::function<void()> poll = [&] {
        if (stop_when() || base::boot_clock::now() > limit) {
            loop.stop();
            return;
        }
        loop.schedule(base::boot_clock::now() + interval, poll);
    };
    loop.post(poll);
    loop.run();
    return stop_when();
}

/// A platform stand-in and a store on the same loop; the functions block until the call ends.
struct fixture {
    http::loop loop;
    standins::platform_server server{loop};
    std::optional<http_store> client;

    explicit fixture(std::chrono::milliseconds deadline = std::chrono::seconds(20),
                     std::size_t max_pending = 64)
    {
        REQUIRE(base::is_ok(server.listen("127.0.0.1:0")));
        store_settings settings;
        settings.address = server.bound_address();
        settings.client_id = "agent-1";
        settings.deadline = deadline;
        settings.max_pending = max_pending;
        client.emplace(loop, settings);
    }

    template <typename T>
    T wait_for(const std::function<void(std::function<void(T)>)>& start)
    {
        std::optional<T> outcome;
        start([&](T value) { outcome = std::move(value); });
        REQUIRE_FALSE(outcome);
        REQUIRE(run_until(loop, [&] { return outcome.has_value(); }));
        return std::move(*outcome);
    }

    base::result<row> read_row(const std::string& key)
    {
        return wait_for<base::result<row>>([&](auto done) { client->read_row(key, done); });
    }

    base::result<row> write_row(const std::string& key, std::uint64_t version,
                                const std::string& value, std::uint64_t era = 0)
    {
        return wait_for<base::result<row>>([&](auto done) {
            client->write_row(key, {version, era}, value, done);
        });
    }

    base::result<std::string> read_object(const std::string& name)
    {
        return wait_for<base::result<std::string>>(
            [&](auto done) { client->read_object(name, done); });
    }

    base::status write_object(const std::string& name, const std::string& content)
    {
        return wait_for<base::status>(
            [&](auto done) { client->write_object(name, content, done); });
    }

    base::result<std::vector<listed_host>> list_hosts()
    {
        return wait_for<base::result<std::vector<listed_host>>>(
            [&](auto done) { client->list_hosts(done); });
    }
};

template <typename T>
base::error_kind kind_of(const base::result<T>& outcome)
{
    REQUIRE_FALSE(base::is_ok(outcome));
    return base::error_of(outcome).kind;
}

} // namespace

// Guards against two publishers whose writes of the same row version both succeed.
TEST_CASE("rows are written only if they have the expected version")
{
    fixture test;
    SUBCASE("a row that does not exist reads as version 0")
    {
        const auto read = test.read_row("documents/config");
        REQUIRE(base::is_ok(read));
        CHECK(base::value_of(read).version == 0);
    }
    SUBCASE("a written row is read back")
    {
        const std::string value = "{\"a\":\"\xc3\xa9\\n\"}";
        const auto first = test.write_row("documents/config", 0, value);
        REQUIRE(base::is_ok(first));
        CHECK(base::value_of(first).version == 1);
        CHECK(base::value_of(test.read_row("documents/config")).value == value);

        CHECK(kind_of(test.write_row("documents/config", 0, "x")) ==
              base::error_kind::version_conflict);
        CHECK(kind_of(test.write_row("documents/config", 2, "x")) ==
              base::error_kind::version_conflict);
        const auto second = test.write_row("documents/config", 1, "x");
        REQUIRE(base::is_ok(second));
        CHECK(base::value_of(second).version == 2);
    }
    SUBCASE("a name that is not valid in a path is rejected")
    {
        CHECK(kind_of(test.read_row("a b")) == base::error_kind::store_unavailable);
        CHECK(kind_of(test.write_row("a?b", 0, "v")) == base::error_kind::store_unavailable);
    }
}

// Guards against an object whose content changes after replicas have read it.
TEST_CASE("objects are immutable")
{
    fixture test;
    CHECK(kind_of(test.read_object("documents/config/1")) == base::error_kind::not_found);
    const std::string content(3U << 20U, 'x');
    CHECK(base::is_ok(test.write_object("documents/config/1", content)));
    CHECK(base::is_ok(test.write_object("documents/config/1", content)));
    CHECK(kind_of(test.write_object("documents/config/1", "y")) ==
          base::error_kind::version_conflict);
    CHECK(base::value_of(test.read_object("documents/config/1")) == content);
}

// Guards against a write that is reported as without effect although its outcome is unknown.
TEST_CASE("errors when the platform fails")
{
    SUBCASE("a write that took effect and whose reply is lost ends with an unknown outcome")
    {
        fixture test;
        test.server.faults().lose_replies = 1;
        CHECK(kind_of(test.write_row("k", 0, "v")) == base::error_kind::store_unknown);
        const auto read = test.read_row("k");
        REQUIRE(base::is_ok(read));
        CHECK(base::value_of(read).value == "v");
        test.server.faults().lose_replies = 1;
        CHECK(kind_of(test.write_object("o", "v")) == base::error_kind::store_unknown);
        CHECK(base::is_ok(test.write_object("o", "v")));
    }
    SUBCASE("while the store is down, reads are unavailable and writes that were sent are unknown")
    {
        fixture test;
        test.server.faults().down = true;
        CHECK(kind_of(test.read_row("k")) == base::error_kind::store_unavailable);
        CHECK(kind_of(test.read_object("k")) == base::error_kind::store_unavailable);
        CHECK(kind_of(test.list_hosts()) == base::error_kind::store_unavailable);
        CHECK(kind_of(test.write_row("k", 0, "v")) == base::error_kind::store_unknown);
        test.server.faults().down = false;
        CHECK(base::value_of(test.read_row("k")).version == 0);
    }
    SUBCASE("calls of a blocked client fail while other clients are served")
    {
        fixture test;
        test.server.faults().cut = {"agent-2"};
        CHECK(base::is_ok(test.read_row("k")));
        test.server.faults().cut = {"agent-1"};
        CHECK(kind_of(test.read_row("k")) == base::error_kind::store_unavailable);
    }
    SUBCASE("a write whose connection is refused is reported as without effect")
    {
        fixture test;
        std::string closed_address;
        {
            standins::platform_server other(test.loop);
            REQUIRE(base::is_ok(other.listen("127.0.0.1:0")));
            closed_address = other.bound_address();
        }
        store_settings settings;
        settings.address = closed_address;
        test.client.emplace(test.loop, settings);
        CHECK(kind_of(test.write_row("k", 0, "v")) == base::error_kind::store_unavailable);
        CHECK(kind_of(test.write_object("k", "v")) == base::error_kind::store_unavailable);
    }
    SUBCASE("a write that exceeds the deadline has an unknown outcome and may take effect later")
    {
        fixture test(std::chrono::milliseconds(50));
        test.server.faults().slow_ms = std::chrono::milliseconds(400);
        CHECK(kind_of(test.write_row("k", 0, "v")) == base::error_kind::store_unknown);
        CHECK(run_until(test.loop, [&] { return !test.server.state().rows.empty(); }));
    }
    SUBCASE("restoring a snapshot resets the content and the version of rows")
    {
        fixture test;
        REQUIRE(base::is_ok(test.write_row("k", 0, "old")));
        test.server.take_snapshot();
        REQUIRE(base::is_ok(test.write_row("k", 1, "new")));
        test.server.restore_snapshot();
        CHECK(base::value_of(test.read_row("k")).value == "old");
        CHECK(base::value_of(test.read_row("k")).version == 1);
    }
    SUBCASE("a row version that was given out again after a restoration is not the expected one")
    {
        fixture test;
        REQUIRE(base::is_ok(test.write_row("k", 0, "old")));
        test.server.take_snapshot();
        REQUIRE(base::value_of(test.write_row("k", 1, "lost")).version == 2);
        test.server.restore_snapshot();
        CHECK(base::value_of(test.read_row("k")).era == 1);
        CHECK(base::value_of(test.read_row("missing")).era == 1);
        REQUIRE(base::value_of(test.write_row("k", 1, "other", 1)).version == 2);
        CHECK(kind_of(test.write_row("k", 2, "late")) == base::error_kind::version_conflict);
        CHECK(base::value_of(test.read_row("k")).value == "other");
        CHECK(base::value_of(test.write_row("k", 2, "new", 1)).era == 1);
    }
    SUBCASE("calls above the limit are rejected and later calls are served")
    {
        fixture test(std::chrono::seconds(20), 2);
        int ended = 0;
        std::vector<base::error_kind> refused;
        for (int i = 0; i < 4; ++i) {
            test.client->read_row("k", [&](const base::result<row>& outcome) {
                ++ended;
                if (!base::is_ok(outcome)) {
                    refused.push_back(base::error_of(outcome).kind);
                }
            });
        }
        CHECK(test.client->pending_calls() == 2);
        REQUIRE(run_until(test.loop, [&] { return ended == 4; }));
        CHECK(refused == std::vector<base::error_kind>(2, base::error_kind::store_unavailable));
        CHECK(base::is_ok(test.read_row("k")));
    }
    SUBCASE("destroying the store discards its callbacks")
    {
        fixture test;
        bool called = false;
        test.client->read_row("k", [&](const base::result<row>&) { called = true; });
        test.client.reset();
        test.loop.post([&] { test.loop.stop(); });
        test.loop.run();
        CHECK_FALSE(called);
    }
}

// Guards against a host list that contains hosts too early or loses the leaving flag.
TEST_CASE("the host list is read with its delay and the leaving flag")
{
    fixture test;
    const base::time_point now = base::boot_clock::now();
    test.server.state().pending_hosts = {
        {now, "h1", R"({"failure_domain":"a","agent_address":"127.1.1.1:9090"})"},
        {now, "h2", R"({"failure_domain":"b","agent_address":"127.1.2.1:9090","leaving":true})"},
        {now + std::chrono::hours(1), "h3", "{}"}};
    const auto hosts = test.list_hosts();
    REQUIRE(base::is_ok(hosts));
    REQUIRE(base::value_of(hosts).size() == 2);
    CHECK(base::value_of(hosts)[0].host_id == "h1");
    CHECK(base::value_of(hosts)[0].agent_address == "127.1.1.1:9090");
    CHECK_FALSE(base::value_of(hosts)[0].leaving);
    CHECK(base::value_of(hosts)[1].failure_domain == "b");
    CHECK(base::value_of(hosts)[1].leaving);
}

// Guards against a definite error for a status or body that does not determine the outcome.
TEST_CASE("replies that do not determine the outcome")
{
    using namespace snipeshore::store::internal;
    CHECK(error_of_status(call_kind::write, 500).kind == base::error_kind::store_unknown);
    CHECK(error_of_status(call_kind::write, 503).kind == base::error_kind::store_unknown);
    CHECK(error_of_status(call_kind::read, 503).kind == base::error_kind::store_unavailable);
    CHECK(error_of_status(call_kind::write, 429).kind == base::error_kind::store_unavailable);
    CHECK(kind_of(read_row_body(call_kind::write, "k", "{}")) == base::error_kind::store_unknown);
    CHECK(kind_of(read_row_body(call_kind::read, "k", R"({"key":"x","value":"","version":1})")) ==
          base::error_kind::store_unavailable);
    for (const std::string version : {"-1", "0.5", "1e300", "18446744073709551616"}) {
        CHECK(kind_of(read_row_body(call_kind::read, "k",
                                    R"({"key":"k","value":"","version":)" + version + "}")) ==
              base::error_kind::store_unavailable);
    }
    CHECK(kind_of(read_hosts_body(R"({"hosts":[{"host_id":1}]})")) ==
          base::error_kind::store_unavailable);
    CHECK(base::value_of(read_era(call_kind::read, {})) == 0);
    CHECK(base::value_of(read_era(call_kind::read, {{"store-era", "7"}})) == 7);
    CHECK(kind_of(read_era(call_kind::read, {{"store-era", "7x"}})) ==
          base::error_kind::store_unavailable);
}
