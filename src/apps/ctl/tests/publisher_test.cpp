#include "apps/ctl/publisher.h"

#include "apps/ctl/publication.h"
#include "apps/ctl/store_session.h"
#include "apps/ctl/tests/platform_thread.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace snipeshore;
using namespace snipeshore::apps;

namespace {

const std::string text_a = R"({"a":1})";
const std::string text_b = R"({"a":1,"b":2})";
const std::string text_c = R"({"a":3})";

publish_order request_of(const std::string& text)
{
    publish_order request;
    request.document = "config";
    request.text_for = [text](std::uint64_t /*version*/) {
        return text;
    };
    return request;
}

struct fixture {
    platform_thread platform;
    store_session store{platform.store_settings()};
    publisher_settings settings{std::chrono::seconds(20), std::chrono::milliseconds(1)};

    publish_report publish_text(const std::string& text)
    {
        return publish(store, request_of(text), settings);
    }

    stored_document in_force()
    {
        const auto stored = read_document(store, "config");
        REQUIRE(base::is_ok(stored));
        return base::value_of(stored);
    }

    /// A request during which another operator publishes `other` after the row was read.
    publish_order overtaken_request(const std::string& text, const std::string& other)
    {
        auto overtaken = std::make_shared<bool>(false);
        publish_order request;
        request.document = "config";
        request.text_for = [this, text, other, overtaken](std::uint64_t /*version*/) {
            if (!*overtaken) {
                *overtaken = true;
                store_session second(platform.store_settings());
                const auto report = publish(second, request_of(other), settings);
                REQUIRE(report.outcome == publish_outcome::published);
            }
            return text;
        };
        return request;
    }
};

} // namespace

// Guards against a publication that operators believe in force and that is not, or the reverse.
TEST_CASE("publishing")
{
    fixture test;

    SUBCASE("writes text, patch and row, and the same again writes nothing")
    {
        CHECK(test.publish_text(text_a).outcome == publish_outcome::published);
        const publish_report second = test.publish_text(text_b);
        CHECK(second.outcome == publish_outcome::published);
        CHECK(second.now.version.value() == 2);
        CHECK(test.in_force().text == text_b);
        const auto patch = test.store.read_object("documents/config/2.patch");
        REQUIRE(base::is_ok(patch));
        CHECK(nlohmann::json::parse(text_a).patch(nlohmann::json::parse(base::value_of(patch))) ==
              nlohmann::json::parse(text_b));

        std::uint64_t writes = 0;
        test.platform.with_server([&](auto& server) { writes = server.stats().writes; });
        CHECK(test.publish_text(text_b).outcome == publish_outcome::already_in_force);
        test.platform.with_server([&](auto& server) { CHECK(server.stats().writes == writes); });
    }
    SUBCASE("resolves a lost reply to each of its writes")
    {
        REQUIRE(test.publish_text(text_a).outcome == publish_outcome::published);
        test.platform.with_server([](auto& server) { server.faults().lose_replies = 3; });
        const publish_report report = test.publish_text(text_b);
        CHECK(report.outcome == publish_outcome::published);
        CHECK(report.now.version.value() == 2);
        CHECK(test.in_force().state.record->id == report.now.id);
        CHECK(test.in_force().state.row_version == 2);
    }
    SUBCASE("says what another operator changed who came first")
    {
        REQUIRE(test.publish_text(text_a).outcome == publish_outcome::published);
        const publish_report report =
            publish(test.store, test.overtaken_request(text_c, text_b), test.settings);
        CHECK(report.outcome == publish_outcome::conflict);
        CHECK(report.now.version.value() == 2);
        REQUIRE(report.other_changes.size() == 1);
        CHECK(report.other_changes.front().path == "/b");
        CHECK(test.in_force().text == text_b);
    }
    SUBCASE("loses to another operator also when the reply is lost")
    {
        REQUIRE(test.publish_text(text_a).outcome == publish_outcome::published);
        auto request = test.overtaken_request(text_c, text_b);
        const auto inner = request.text_for;
        request.text_for = [&](std::uint64_t version) {
            auto text = inner(version);
            test.platform.with_server([](auto& server) { server.faults().lose_replies = 3; });
            return text;
        };
        const publish_report report = publish(test.store, request, test.settings);
        CHECK(report.outcome == publish_outcome::conflict);
        CHECK(test.in_force().text == text_b);
    }
    SUBCASE("succeeds when another operator published the same")
    {
        const publish_report report =
            publish(test.store, test.overtaken_request(text_a, text_a), test.settings);
        CHECK(report.outcome == publish_outcome::already_in_force);
        CHECK(report.now.version.value() == 1);
    }
    SUBCASE("refuses a change that was made from an older version")
    {
        REQUIRE(test.publish_text(text_a).outcome == publish_outcome::published);
        REQUIRE(test.publish_text(text_b).outcome == publish_outcome::published);
        auto request = request_of(text_c);
        request.base = 1;
        const publish_report report = publish(test.store, request, test.settings);
        CHECK(report.outcome == publish_outcome::conflict);
        REQUIRE(report.other_changes.size() == 1);
        CHECK(report.other_changes.front().path == "/b");
    }
    SUBCASE("changes nothing while the store is down")
    {
        test.settings.give_up_after = std::chrono::milliseconds(50);
        test.platform.with_server([](auto& server) { server.faults().down = true; });
        CHECK(test.publish_text(text_a).outcome == publish_outcome::unavailable);
        test.platform.with_server([](auto& server) {
            server.faults().down = false;
            CHECK(server.state().rows.empty());
        });
    }
    SUBCASE("reports an unknown outcome when the store goes down at the row, and can be repeated")
    {
        test.settings.give_up_after = std::chrono::seconds(2);
        test.platform.with_server([](auto& server) { server.faults().down_after_writes = 2; });
        CHECK(test.publish_text(text_a).outcome == publish_outcome::unknown);
        test.platform.with_server([](auto& server) { server.faults().down = false; });
        CHECK(test.publish_text(text_a).outcome == publish_outcome::already_in_force);
        CHECK(test.in_force().state.row_version == 1);
    }
    SUBCASE("passes over a version that a publication left behind")
    {
        REQUIRE(test.publish_text(text_a).outcome == publish_outcome::published);
        REQUIRE(base::is_ok(test.store.write_object("documents/config/2", text_c)));
        const publish_report report = test.publish_text(text_b);
        CHECK(report.outcome == publish_outcome::published);
        CHECK(report.now.version.value() == 3);
        CHECK(test.in_force().text == text_b);
        CHECK_FALSE(base::is_ok(test.store.read_object("documents/config/3.patch")));
    }
    SUBCASE("replaces a document whose object is damaged")
    {
        REQUIRE(test.publish_text(text_a).outcome == publish_outcome::published);
        test.platform.with_server(
            [](auto& server) { server.state().objects["documents/config/1"] = "damaged"; });
        CHECK_FALSE(base::is_ok(read_document(test.store, "config")));
        CHECK(test.publish_text(text_b).outcome == publish_outcome::published);
        CHECK(test.in_force().text == text_b);
    }
    SUBCASE("gets above the fleet's version after the store was restored")
    {
        REQUIRE(test.publish_text(text_a).outcome == publish_outcome::published);
        test.platform.with_server([](auto& server) { server.take_snapshot(); });
        REQUIRE(test.publish_text(text_b).outcome == publish_outcome::published);
        test.platform.with_server([](auto& server) { server.restore_snapshot(); });
        auto request = request_of(text_b);
        request.above = 2;
        const publish_report report = publish(test.store, request, test.settings);
        CHECK(report.outcome == publish_outcome::published);
        CHECK(report.now.version.value() == 3);
    }
    SUBCASE("does not overwrite a row that it cannot read")
    {
        test.platform.with_server([](auto& server) {
            server.state().rows["documents/config"] = {"not a publication", 4};
        });
        CHECK(test.publish_text(text_a).outcome == publish_outcome::malformed);
    }
}
