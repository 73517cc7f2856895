#include "apps/ctl/publication.h"

#include "documents/publishing.h"
#include "documents/text.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace snipeshore;
using namespace snipeshore::apps;

namespace {

using documents::publish_plan;
using documents::published_row;

documents::publication publication_of(std::uint64_t version, const std::string& text,
                                      const std::string& id)
{
    return {base::document_version(version), documents::digest_of(text), id, {}};
}

published_row row_of(std::uint64_t version, const std::string& text)
{
    return {version + 10, publication_of(version, text, "earlier")};
}

publication_request request_of(const std::string& text)
{
    publication_request request;
    request.document = "config";
    request.make_text = [text](std::uint64_t /*version*/) {
        return text;
    };
    return request;
}

} // namespace

// Guards against versions that replicas ignore, and against publications that change nothing.
TEST_CASE("the plan of a publication")
{
    SUBCASE("starts with version 1 if the row does not exist")
    {
        const auto plan =
            std::get<publish_plan>(plan_publication({}, request_of("{}"), "", 0, "id"));
        CHECK(plan.record.version.value() == 1);
        CHECK(plan.record.digest == documents::digest_of("{}"));
        CHECK(plan.expected_row_version == 0);
        CHECK(plan.patch.empty());
    }
    SUBCASE("is empty if the text in force differs only in its layout")
    {
        const auto plan =
            plan_publication(row_of(4, R"({"a":1})"), request_of("{ \"a\": 1 }\n"), "", 0, "id");
        CHECK(std::get<publish_outcome>(plan) == publish_outcome::already_in_force);
    }
    SUBCASE("publishes an equal text again if the fleet has a higher version")
    {
        auto request = request_of("{}");
        request.above_version = 9;
        const auto plan =
            std::get<publish_plan>(plan_publication(row_of(4, "{}"), request, "{}", 0, "id"));
        CHECK(plan.record.version.value() == 10);
    }
    SUBCASE("is a conflict if the change is based on another version")
    {
        auto request = request_of("{}");
        request.base_version = 3;
        CHECK(std::get<publish_outcome>(plan_publication(row_of(4, "[]"), request, "", 0, "id")) ==
              publish_outcome::conflict);
    }
    SUBCASE("is an error for a text that is not JSON")
    {
        CHECK(std::get<publish_outcome>(plan_publication({}, request_of("x"), "", 0, "id")) ==
              publish_outcome::malformed);
    }
    SUBCASE("has a higher version than the row, the taken objects and the fleet")
    {
        const bool holds = rc::check([] {
            const auto in_force = *rc::gen::inRange<std::uint64_t>(0, 20);
            const auto taken = *rc::gen::inRange<std::uint64_t>(0, 20);
            auto request = request_of(R"({"a":1})");
            request.above_version = *rc::gen::inRange<std::uint64_t>(0, 20);
            const auto row = in_force == 0 ? published_row{} : row_of(in_force, "{}");
            const std::string base_text = in_force == 0 ? "" : "{}";
            const auto plan =
                std::get<publish_plan>(plan_publication(row, request, base_text, taken, "id"));
            const std::uint64_t version = plan.record.version.value();
            RC_ASSERT(version > in_force);
            RC_ASSERT(version > taken);
            RC_ASSERT(version > request.above_version);
            RC_ASSERT(plan.expected_row_version == row.row_version);
            // A patch between versions that are not consecutive would be applied to the wrong text.
            RC_ASSERT(plan.patch.empty() == (in_force == 0 || version != in_force + 1));
        });
        CHECK(holds);
    }
}

// Guards against a patch that produces a different text than the published one.
TEST_CASE("the patch turns the previous text into the published one")
{
    const std::string before = R"({"keys":[{"hash":"a"},{"hash":"b"}]})";
    const auto plan = std::get<publish_plan>(plan_publication(
        row_of(1, before), request_of("{\"keys\": [{\"hash\": \"b\"}]}\n"), before, 0, "id"));
    const auto applied = documents::apply_patches(before, {plan.patch});
    REQUIRE(base::is_ok(applied));
    CHECK(base::value_of(applied) == plan.text);
    CHECK(documents::digest_of(base::value_of(applied)) == plan.record.digest);
}

// Guards against a lost reply that is taken for a failure, or another publication that is taken for
// this one.
TEST_CASE("the result of a write without a reply is determined from the row")
{
    const auto plan = std::get<publish_plan>(
        plan_publication(row_of(1, "{}"), request_of("[]"), "{}", 0, "mine"));
    CHECK(check_write_result({12, plan.record}, plan) == write_result::in_force);
    CHECK(check_write_result(row_of(1, "{}"), plan) == write_result::not_written);
    CHECK(check_write_result({12, publication_of(2, "1", "theirs")}, plan) ==
          write_result::superseded);
    CHECK(check_write_result({13, publication_of(3, "1", "theirs")}, plan) ==
          write_result::superseded);
    documents::publication next = publication_of(3, "1", "theirs");
    next.previous_ids = {"mine", "earlier"};
    CHECK(check_write_result({13, next}, plan) == write_result::in_force);
    CHECK(check_write_result({5, publication_of(1, "1", "restored")}, plan) ==
          write_result::undetermined);
    // After a restoration the row versions and document versions say nothing.
    CHECK(check_write_result({11, publication_of(1, "{}", "earlier"), 1}, plan) ==
          write_result::restored);
    CHECK(check_write_result({12, publication_of(2, "1", "theirs"), 1}, plan) ==
          write_result::restored);
    CHECK(check_write_result({12, plan.record, 1}, plan) == write_result::in_force);
    CHECK(check_write_result({13, next, 1}, plan) == write_result::in_force);
}

TEST_CASE("the row's value is parsed, and malformed values are rejected")
{
    const auto state =
        parse_row({"documents/config", documents::encode(publication_of(7, "{}", "p")), 3});
    REQUIRE(base::is_ok(state));
    CHECK(base::value_of(state).row_version == 3);
    CHECK(version_of(base::value_of(state)) == 7);
    CHECK(version_of(base::value_of(parse_row({"documents/config", "", 0}))) == 0);
    CHECK_FALSE(base::is_ok(parse_row({"documents/config", "{}", 3})));
}
