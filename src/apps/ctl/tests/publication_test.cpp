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

publish_order order_of(const std::string& text)
{
    publish_order order;
    order.document = "config";
    order.text_for = [text](std::uint64_t /*version*/) {
        return text;
    };
    return order;
}

} // namespace

// Guards against versions that replicas ignore, and against publications without a change.
TEST_CASE("the plan of a publication")
{
    SUBCASE("starts with version 1 on a row that does not exist")
    {
        const auto plan = std::get<publish_plan>(plan_publication({}, order_of("{}"), "", 0, "id"));
        CHECK(plan.record.version.value() == 1);
        CHECK(plan.record.digest == documents::digest_of("{}"));
        CHECK(plan.expected_row_version == 0);
        CHECK(plan.patch.empty());
    }
    SUBCASE("is none when the text in force is equal, whatever its layout")
    {
        const auto plan =
            plan_publication(row_of(4, R"({"a":1})"), order_of("{ \"a\": 1 }\n"), "", 0, "id");
        CHECK(std::get<publish_outcome>(plan) == publish_outcome::already_in_force);
    }
    SUBCASE("publishes an equal text again when the fleet has a higher version")
    {
        auto order = order_of("{}");
        order.above = 9;
        const auto plan =
            std::get<publish_plan>(plan_publication(row_of(4, "{}"), order, "{}", 0, "id"));
        CHECK(plan.record.version.value() == 10);
    }
    SUBCASE("is a conflict when the change was made from another version")
    {
        auto order = order_of("{}");
        order.base = 3;
        CHECK(std::get<publish_outcome>(plan_publication(row_of(4, "[]"), order, "", 0, "id")) ==
              publish_outcome::conflict);
    }
    SUBCASE("is none for a text that is not JSON")
    {
        CHECK(std::get<publish_outcome>(plan_publication({}, order_of("x"), "", 0, "id")) ==
              publish_outcome::malformed);
    }
    SUBCASE("is above every version that it must pass")
    {
        const bool holds = rc::check([] {
            const auto in_force = *rc::gen::inRange<std::uint64_t>(0, 20);
            const auto taken = *rc::gen::inRange<std::uint64_t>(0, 20);
            auto order = order_of(R"({"a":1})");
            order.above = *rc::gen::inRange<std::uint64_t>(0, 20);
            const auto row = in_force == 0 ? published_row{} : row_of(in_force, "{}");
            const std::string base_text = in_force == 0 ? "" : "{}";
            const auto plan =
                std::get<publish_plan>(plan_publication(row, order, base_text, taken, "id"));
            const std::uint64_t version = plan.record.version.value();
            RC_ASSERT(version > in_force);
            RC_ASSERT(version > taken);
            RC_ASSERT(version > order.above);
            RC_ASSERT(plan.expected_row_version == row.row_version);
            // A patch between versions that do not follow each other would be applied wrongly.
            RC_ASSERT(plan.patch.empty() == (in_force == 0 || version != in_force + 1));
        });
        CHECK(holds);
    }
}

// Guards against a replica that ends with another text after it applied the patch.
TEST_CASE("the patch turns the text before into the published one")
{
    const std::string before = R"({"keys":[{"hash":"a"},{"hash":"b"}]})";
    const auto plan = std::get<publish_plan>(plan_publication(
        row_of(1, before), order_of("{\"keys\": [{\"hash\": \"b\"}]}\n"), before, 0, "id"));
    const auto applied = documents::apply_patches(before, {plan.patch});
    REQUIRE(base::is_ok(applied));
    CHECK(base::value_of(applied) == plan.text);
    CHECK(documents::digest_of(base::value_of(applied)) == plan.record.digest);
}

// Guards against a lost reply that is judged as a failure, or as a success of someone else.
TEST_CASE("the row after a write without a reply")
{
    const auto plan =
        std::get<publish_plan>(plan_publication(row_of(1, "{}"), order_of("[]"), "{}", 0, "mine"));
    CHECK(judge_row({12, plan.record}, plan) == row_verdict::in_force);
    CHECK(judge_row(row_of(1, "{}"), plan) == row_verdict::not_written);
    CHECK(judge_row({12, publication_of(2, "1", "theirs")}, plan) == row_verdict::overtaken);
    CHECK(judge_row({13, publication_of(3, "1", "theirs")}, plan) == row_verdict::overtaken);
    documents::publication next = publication_of(3, "1", "theirs");
    next.previous_ids = {"mine", "earlier"};
    CHECK(judge_row({13, next}, plan) == row_verdict::in_force);
    CHECK(judge_row({5, publication_of(1, "1", "restored")}, plan) == row_verdict::unclear);
}

TEST_CASE("the row's value is read back, malformed values are refused")
{
    const auto state =
        read_state({"documents/config", documents::encode(publication_of(7, "{}", "p")), 3});
    REQUIRE(base::is_ok(state));
    CHECK(base::value_of(state).row_version == 3);
    CHECK(version_of(base::value_of(state)) == 7);
    CHECK(version_of(base::value_of(read_state({"documents/config", "", 0}))) == 0);
    CHECK_FALSE(base::is_ok(read_state({"documents/config", "{}", 3})));
}
