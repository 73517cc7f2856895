#include "apps/ctl/publisher.h"

#include "apps/ctl/publication.h"
#include "apps/ctl/store_session.h"
#include "apps/ctl/tests/platform_thread.h"
#include "documents/publishing.h"
#include "documents/text.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace snipeshore;
using namespace snipeshore::apps;

namespace {

const std::string text_a = R"({"a":1})";
const std::string text_b = R"({"a":1,"b":2})";
const std::string text_c = R"({"a":3})";
const std::string text_d = R"({"d":4})";

publication_request request_of(const std::string& text)
{
    publication_request request;
    request.document = "config";
    request.make_text = [text](std::uint64_t /*version*/) {
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

    /// Request to publish `text`. The store is restored after the row was read, and another
    /// operator publishes `other`.
    publication_request request_before_restoration(const std::string& text,
                                                   const std::string& other)
    {
        auto request = concurrent_request(text, other);
        request.make_text = [this, make_text = request.make_text,
                             is_restored = false](std::uint64_t version) mutable {
            if (!is_restored) {
                is_restored = true;
                platform.with_server([](auto& server) { server.restore_snapshot(); });
            }
            return make_text(version);
        };
        return request;
    }

    /// Request to publish `text`. Another operator publishes `other` after the row was read.
    publication_request concurrent_request(const std::string& text, const std::string& other)
    {
        auto other_published = std::make_shared<bool>(false);
        publication_request request;
        request.document = "config";
        request.make_text = [this, text, other, other_published](std::uint64_t /*version*/) {
            if (!*other_published) {
                *other_published = true;
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

// Guards against a publication that is reported as in force and is not, or the reverse.
TEST_CASE("publishing")
{
    fixture test;

    SUBCASE("writes text, patch and row, and publishing the same text again writes nothing")
    {
        CHECK(test.publish_text(text_a).outcome == publish_outcome::published);
        const publish_report second = test.publish_text(text_b);
        CHECK(second.outcome == publish_outcome::published);
        CHECK(second.in_force.version.value() == 2);
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
    SUBCASE("determines the outcome when the reply to each of its writes is lost")
    {
        REQUIRE(test.publish_text(text_a).outcome == publish_outcome::published);
        test.platform.with_server([](auto& server) { server.faults().lose_replies = 3; });
        const publish_report report = test.publish_text(text_b);
        CHECK(report.outcome == publish_outcome::published);
        CHECK(report.in_force.version.value() == 2);
        CHECK(test.in_force().state.record->id == report.in_force.id);
        CHECK(test.in_force().state.row_version == 2);
    }
    SUBCASE("reports the changes of another operator who published first")
    {
        REQUIRE(test.publish_text(text_a).outcome == publish_outcome::published);
        const publish_report report =
            publish(test.store, test.concurrent_request(text_c, text_b), test.settings);
        CHECK(report.outcome == publish_outcome::conflict);
        CHECK(report.in_force.version.value() == 2);
        REQUIRE(report.other_changes.size() == 1);
        CHECK(report.other_changes.front().path == "/b");
        CHECK(test.in_force().text == text_b);
    }
    SUBCASE("reports a conflict with another operator also when the reply is lost")
    {
        REQUIRE(test.publish_text(text_a).outcome == publish_outcome::published);
        auto request = test.concurrent_request(text_c, text_b);
        const auto inner = request.make_text;
        request.make_text = [&](std::uint64_t version) {
            auto text = inner(version);
            test.platform.with_server([](auto& server) { server.faults().lose_replies = 3; });
            return text;
        };
        const publish_report report = publish(test.store, request, test.settings);
        CHECK(report.outcome == publish_outcome::conflict);
        CHECK(test.in_force().text == text_b);
    }
    SUBCASE("succeeds when another operator published the same text")
    {
        const publish_report report =
            publish(test.store, test.concurrent_request(text_a, text_a), test.settings);
        CHECK(report.outcome == publish_outcome::already_in_force);
        CHECK(report.in_force.version.value() == 1);
    }
    SUBCASE("rejects a change that is based on an older version")
    {
        REQUIRE(test.publish_text(text_a).outcome == publish_outcome::published);
        REQUIRE(test.publish_text(text_b).outcome == publish_outcome::published);
        auto request = request_of(text_c);
        request.base_version = 1;
        const publish_report report = publish(test.store, request, test.settings);
        CHECK(report.outcome == publish_outcome::conflict);
        REQUIRE(report.other_changes.size() == 1);
        CHECK(report.other_changes.front().path == "/b");
    }
    SUBCASE("changes nothing while the store is down")
    {
        test.settings.retry_timeout = std::chrono::milliseconds(50);
        test.platform.with_server([](auto& server) { server.faults().down = true; });
        CHECK(test.publish_text(text_a).outcome == publish_outcome::unavailable);
        test.platform.with_server([](auto& server) {
            server.faults().down = false;
            CHECK(server.state().rows.empty());
        });
    }
    SUBCASE(
        "reports an unknown outcome when the store fails at the row's write, and can be repeated")
    {
        test.settings.retry_timeout = std::chrono::seconds(2);
        test.platform.with_server([](auto& server) { server.faults().down_after_writes = 2; });
        CHECK(test.publish_text(text_a).outcome == publish_outcome::unknown);
        test.platform.with_server([](auto& server) { server.faults().down = false; });
        CHECK(test.publish_text(text_a).outcome == publish_outcome::already_in_force);
        CHECK(test.in_force().state.row_version == 1);
    }
    SUBCASE("skips a version whose object was left by an abandoned publication")
    {
        REQUIRE(test.publish_text(text_a).outcome == publish_outcome::published);
        REQUIRE(base::is_ok(test.store.write_object("documents/config/2", text_c)));
        const publish_report report = test.publish_text(text_b);
        CHECK(report.outcome == publish_outcome::published);
        CHECK(report.in_force.version.value() == 3);
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
    SUBCASE("publishes above all lost versions after the store was restored")
    {
        REQUIRE(test.publish_text(text_a).outcome == publish_outcome::published);
        test.platform.with_server([](auto& server) { server.take_snapshot(); });
        REQUIRE(test.publish_text(text_b).outcome == publish_outcome::published);
        REQUIRE(test.publish_text(text_c).outcome == publish_outcome::published);
        test.platform.with_server([](auto& server) { server.restore_snapshot(); });
        const publish_report report = test.publish_text(text_d);
        CHECK(report.outcome == publish_outcome::published);
        CHECK(report.in_force.version.value() > 3);
        CHECK(test.in_force().text == text_d);
        CHECK_FALSE(base::is_ok(test.store.read_object(
            documents::patch_object_name("config", report.in_force.version))));
        const publish_report next = test.publish_text(text_b);
        CHECK(next.in_force.version.value() == report.in_force.version.value() + 1);
        CHECK(base::is_ok(
            test.store.read_object(documents::patch_object_name("config", next.in_force.version))));
    }
    SUBCASE("publishes the restored text again, because hosts may have a lost one in force")
    {
        REQUIRE(test.publish_text(text_a).outcome == publish_outcome::published);
        test.platform.with_server([](auto& server) { server.take_snapshot(); });
        REQUIRE(test.publish_text(text_b).outcome == publish_outcome::published);
        test.platform.with_server([](auto& server) { server.restore_snapshot(); });
        const publish_report report = test.publish_text(text_a);
        CHECK(report.outcome == publish_outcome::published);
        CHECK(report.in_force.version.value() > 2);
        CHECK(test.publish_text(text_a).outcome == publish_outcome::already_in_force);
    }
    SUBCASE("publishes above the fleet's version after a store without eras was restored")
    {
        test.platform.with_server([](auto& server) { server.faults().hide_era = true; });
        REQUIRE(test.publish_text(text_a).outcome == publish_outcome::published);
        test.platform.with_server([](auto& server) { server.take_snapshot(); });
        REQUIRE(test.publish_text(text_b).outcome == publish_outcome::published);
        test.platform.with_server([](auto& server) { server.restore_snapshot(); });
        auto request = request_of(text_b);
        request.above_version = 2;
        const publish_report report = publish(test.store, request, test.settings);
        CHECK(report.outcome == publish_outcome::published);
        CHECK(report.in_force.version.value() == 3);
    }
    SUBCASE("does not overwrite another publication that got the same row version after a "
            "restoration")
    {
        REQUIRE(test.publish_text(text_a).outcome == publish_outcome::published);
        test.platform.with_server([](auto& server) { server.take_snapshot(); });
        REQUIRE(test.publish_text(text_b).outcome == publish_outcome::published);
        const publish_report report =
            publish(test.store, test.request_before_restoration(text_c, text_d), test.settings);
        CHECK(report.outcome == publish_outcome::conflict);
        CHECK(test.in_force().text == text_d);
    }
    SUBCASE("writes lost objects again if the store is restored before the row's write")
    {
        REQUIRE(test.publish_text(text_a).outcome == publish_outcome::published);
        test.platform.with_server([](auto& server) {
            server.take_snapshot();
            server.faults().restore_after_writes = 1;
        });
        CHECK(test.publish_text(text_b).outcome == publish_outcome::published);
        CHECK(test.in_force().text == text_b);
    }
    SUBCASE("whose row's write took effect without a reply and was then lost in a restoration")
    {
        REQUIRE(test.publish_text(text_a).outcome == publish_outcome::published);
        documents::publication other;
        const auto lose_row = [&other](auto& server) {
            server.take_snapshot();
            server.faults().after_write = [&server, &other, writes = 0]() mutable {
                ++writes;
                // The text and the patch are written before the row.
                server.faults().lose_replies = writes == 2 ? 1 : 0;
                if (writes != 3) {
                    return;
                }
                REQUIRE(server.state().rows.at("documents/config").version == 2);
                server.restore_snapshot();
                if (!other.id.empty()) {
                    server.state().rows["documents/config"] = {documents::encode(other), 2};
                    server.state().objects[documents::text_object_name("config", other.version)] =
                        text_d;
                }
            };
        };
        SUBCASE("is published again")
        {
            test.platform.with_server(lose_row);
            const publish_report report = test.publish_text(text_b);
            CHECK(report.outcome == publish_outcome::published);
            CHECK(report.in_force.version == documents::first_version(1));
            CHECK(test.in_force().text == text_b);
        }
        SUBCASE("has an unknown outcome if another operator has published since")
        {
            other = {documents::first_version(1), documents::digest_of(text_d), "other", {}};
            test.platform.with_server(lose_row);
            CHECK(test.publish_text(text_b).outcome == publish_outcome::unknown);
            CHECK(test.in_force().text == text_d);
        }
        test.platform.with_server([](auto& server) { server.faults().after_write = nullptr; });
    }
    SUBCASE("does not overwrite a row that it cannot read")
    {
        test.platform.with_server([](auto& server) {
            server.state().rows["documents/config"] = {"not a publication", 4};
        });
        CHECK(test.publish_text(text_a).outcome == publish_outcome::malformed);
    }
}
