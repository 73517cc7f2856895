#include "apps/common/snapshot_client.h"

#include "apps/common/loop_dispatch.h"
#include "documents/text.h"
#include "http/loop.h"
#include "inner/node.h"

#include <doctest/doctest.h>

#include <chrono>

using namespace snipeshore;
using namespace snipeshore::apps;

namespace {

constexpr std::chrono::seconds max_wait{30};

std::string keys_text(const std::string& hash)
{
    const std::string digits(64 - hash.size(), '0');
    return base::value_of(documents::canonical_text(
        R"({"keys":[{"hash":")" + hash + digits + R"(","account":"a","granted_at_version":1}]})"));
}

/// An agent that holds one version of the document `keys`, and a client of it on the same loop.
struct fixture {
    http::loop loop;
    inner::document full_text{"keys", 1, 0, "", {}, ""};
    inner::document patches; ///< Sent to a client that reports version 1.
    std::size_t watches = 0;
    std::vector<inner::reply_sender<inner::snapshot>> waiting;
    inner::node agent{with_loop_dispatch(settings("127.0.0.1:0"), loop)};
    inner::node own{with_loop_dispatch(settings(""), loop)};
    std::unique_ptr<snapshot_client> client;

    static inner::node_settings settings(const std::string& address)
    {
        inner::node_settings node;
        node.listen_address = address;
        return node;
    }

    fixture()
    {
        inner::agent_service service;
        service.watch = [this](const inner::cursor& from, const inner::process_report&,
                               const inner::reply_sender<inner::snapshot>& reply) {
            watch(from, reply);
        };
        REQUIRE(base::is_ok(agent.start(service, {})));
        REQUIRE(base::is_ok(own.start({}, {})));
        client = std::make_unique<snapshot_client>(
            loop, own, agent.bound_address(), [] { return inner::process_report{}; },
            [](const fleet_state&, const fleet_changes&) {});
    }

    ~fixture()
    {
        client.reset();
        own.stop();
        agent.stop();
    }

    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;
    fixture(fixture&&) = delete;
    fixture& operator=(fixture&&) = delete;

    void watch(const inner::cursor& from, const inner::reply_sender<inner::snapshot>& reply)
    {
        ++watches;
        for (const inner::document_version& held : from.versions) {
            if (held.name == "keys" && held.version < full_text.version) {
                const bool has_patches = held.version == 1 && !patches.patches.empty();
                inner::snapshot snapshot;
                snapshot.documents = {has_patches ? patches : full_text};
                reply(snapshot);
                return;
            }
        }
        waiting.push_back(reply);
    }

    /// The agent gets version 2, with the patch from `base_text` to it.
    void publish_second(const std::string& base_text, const std::string& text)
    {
        full_text = {"keys", 2, 0, text, {}, documents::digest_of(text)};
        patches = {"keys",
                   2,
                   1,
                   "",
                   {base::value_of(documents::patch_between(base_text, text))},
                   documents::digest_of(text)};
        for (const auto& reply : std::exchange(waiting, {})) {
            reply(inner::snapshot{{patches}, {}, 0, {}, 0, {}, false, {}});
        }
    }

    bool run_until(const std::function<bool()>& stop_when)
    {
        const base::time_point limit = base::boot_clock::now() + max_wait;
        std::function<void()> poll = [&] {
            if (stop_when() || base::boot_clock::now() > limit) {
                loop.stop();
                return;
            }
            loop.schedule(base::boot_clock::now() + std::chrono::milliseconds(1), poll);
        };
        loop.post(poll);
        loop.run();
        return stop_when();
    }

    bool has_key(const std::string& text) const
    {
        return client->state().keys.accounts.size() == 1 &&
               text.find(client->state().keys.accounts.begin()->first) != std::string::npos;
    }
};

} // namespace

// Guards against a document that no one published, made from the patch of another text with the
// same version, as after a restoration of a store that does not report its era.
TEST_CASE("patches from the agent")
{
    fixture test;
    const std::string first = keys_text("a");
    const std::string second = keys_text("b");
    test.full_text.text = first;
    test.full_text.digest = documents::digest_of(first);
    test.client->start();
    REQUIRE(test.run_until([&] { return test.client->state().keys_version == 1; }));
    REQUIRE(test.run_until([&] { return test.waiting.size() == 1; }));
    REQUIRE(test.has_key(first));

    SUBCASE("are applied if they lead to the published text")
    {
        test.publish_second(first, second);
        REQUIRE(test.run_until([&] { return test.client->state().keys_version == 2; }));
        CHECK(test.has_key(second));
        REQUIRE(test.run_until([&] { return test.waiting.size() == 1; }));
        CHECK(test.watches == 3);
    }
    SUBCASE("are replaced by the whole text if they were made from another one")
    {
        SUBCASE("and lead to a different text")
        {
            test.publish_second(R"({"keys":[]})", second);
        }
        SUBCASE("and cannot be applied")
        {
            test.publish_second(R"({"keys":[{"hash":"x"},{"hash":"y"}]})", second);
        }
        REQUIRE(test.run_until([&] { return test.client->state().keys_version == 2; }));
        CHECK(test.has_key(second));
        REQUIRE(test.run_until([&] { return test.waiting.size() == 1; }));
        CHECK(test.watches == 4);
    }
}
