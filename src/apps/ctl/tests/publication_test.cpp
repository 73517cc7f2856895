#include "apps/ctl/publication.h"

#include "config/key_hash.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace snipeshore;
using namespace snipeshore::apps;

namespace {

published_state state_of(std::uint64_t version, const std::string& text)
{
    return {version + 10, {version, config::digest(text), "earlier"}};
}

publish_request request_of(const std::string& text)
{
    publish_request request;
    request.document = "config";
    request.text_for = [text](std::uint64_t /*version*/) {
        return text;
    };
    return request;
}

} // namespace

// Guards against versions that replicas ignore, and against publications without a change.
TEST_CASE("the plan of a publication")
{
    SUBCASE("starts with version 1 on a row that does not exist")
    {
        const auto plan = std::get<write_plan>(plan_publication({}, request_of("text"), 0, "id"));
        CHECK(plan.next.version == 1);
        CHECK(plan.next.digest == config::digest("text"));
        CHECK(plan.expected_row_version == 0);
        CHECK_FALSE(patch_text(plan, ""));
    }
    SUBCASE("is none when the text in force is equal")
    {
        CHECK(std::get<publish_outcome>(
                  plan_publication(state_of(4, "text"), request_of("text"), 0, "id")) ==
              publish_outcome::already_in_force);
    }
    SUBCASE("publishes an equal text again when the fleet has a higher version")
    {
        auto request = request_of("text");
        request.above = 9;
        const auto plan =
            std::get<write_plan>(plan_publication(state_of(4, "text"), request, 0, "id"));
        CHECK(plan.next.version == 10);
    }
    SUBCASE("is a conflict when the change was made from another version")
    {
        auto request = request_of("text");
        request.base = 3;
        CHECK(std::get<publish_outcome>(plan_publication(state_of(4, "other"), request, 0, "id")) ==
              publish_outcome::conflict);
    }
    SUBCASE("is above every version that it must pass")
    {
        const bool holds = rc::check([] {
            const auto in_force = *rc::gen::inRange<std::uint64_t>(0, 20);
            const auto taken = *rc::gen::inRange<std::uint64_t>(0, 20);
            auto request = request_of("{\"a\":1}");
            request.above = *rc::gen::inRange<std::uint64_t>(0, 20);
            const auto state = in_force == 0 ? published_state{} : state_of(in_force, "{}");
            const auto plan = std::get<write_plan>(plan_publication(state, request, taken, "id"));
            RC_ASSERT(plan.next.version > in_force);
            RC_ASSERT(plan.next.version > taken);
            RC_ASSERT(plan.next.version > request.above);
            RC_ASSERT(plan.expected_row_version == state.row_version);
            // A patch between versions that do not follow each other would be applied wrongly.
            RC_ASSERT(patch_text(plan, "{}").has_value() ==
                      (in_force != 0 && plan.next.version == in_force + 1));
        });
        CHECK(holds);
    }
}

// Guards against a replica that ends with another text after it applied the patch.
TEST_CASE("the patch turns the text before into the published one")
{
    const std::string before = R"({"keys":[{"hash":"a"},{"hash":"b"}]})";
    const auto plan = std::get<write_plan>(
        plan_publication(state_of(1, before), request_of(R"({"keys":[{"hash":"b"}]})"), 0, "id"));
    const auto patch = patch_text(plan, before);
    REQUIRE(patch);
    CHECK(nlohmann::json::parse(before).patch(nlohmann::json::parse(*patch)) ==
          nlohmann::json::parse(plan.text));
    CHECK_FALSE(patch_text(plan, "damaged"));
}

// Guards against a lost reply that is judged as a failure, or as a success of someone else.
TEST_CASE("the row after a write without a reply")
{
    const auto plan =
        std::get<write_plan>(plan_publication(state_of(1, "old"), request_of("new"), 0, "mine"));
    CHECK(judge_row({12, {2, plan.next.digest, "mine"}}, plan) == row_verdict::in_force);
    CHECK(judge_row(state_of(1, "old"), plan) == row_verdict::not_written);
    CHECK(judge_row({12, {2, "x", "theirs"}}, plan) == row_verdict::overtaken);
    CHECK(judge_row({13, {3, "x", "theirs"}}, plan) == row_verdict::unclear);
    CHECK(judge_row({5, {1, "x", "restored"}}, plan) == row_verdict::unclear);
}

TEST_CASE("the row's value is read back, malformed values are refused")
{
    const publication source{7, "d", "p"};
    const auto state = read_state({"documents/config", to_text(source), 3});
    REQUIRE(state);
    CHECK(state->row_version == 3);
    CHECK(state->current.version == 7);
    CHECK(read_state({"documents/config", "", 0})->current.version == 0);
    for (const char* value : {"", "{}", "[]", R"({"version":0,"digest":"","publication_id":""})",
                              R"({"version":"1","digest":"","publication_id":""})"}) {
        CAPTURE(value);
        CHECK_FALSE(read_state({"documents/config", value, 3}));
    }
}
