#include "base/error_response.h"
#include "base/types/error.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <set>
#include <string>

using namespace snipeshore::base;

// Guards against two kinds that a caller cannot tell apart, and against a "not run" claim for
// kinds that occur after bytes were sent to a target.
TEST_CASE("the table from error kind to answer")
{
    SUBCASE("every kind has its own name and an HTTP error status")
    {
        std::set<std::string> names;
        for (std::uint8_t index = 0; index < error_kind_count; ++index) {
            const error_response& answer = response_for(static_cast<error_kind>(index));
            CHECK(names.insert(std::string(answer.name)).second);
            CHECK(answer.http_status >= 400);
            CHECK(answer.http_status < 600);
        }
    }
    SUBCASE("kinds that occur after a request may have run never say not run")
    {
        for (const error_kind kind :
             {error_kind::deadline_exceeded, error_kind::outcome_unknown, error_kind::target_failed,
              error_kind::answer_invalid, error_kind::store_unknown, error_kind::cancelled,
              error_kind::internal}) {
            CHECK_FALSE(response_for(kind).not_run);
        }
    }
    SUBCASE("the body escapes what a caller put into the detail")
    {
        const error failure{error_kind::bad_request, "header \"x\"\n\xff"};
        const auto body = nlohmann::json::parse(error_body(failure, "r1", true));
        CHECK(body["error"] == "bad_request");
        CHECK(body["not_run"] == true);
        CHECK(body["request_id"] == "r1");
    }
    SUBCASE("a kind that may have run is never shown as not run")
    {
        const error failure{error_kind::outcome_unknown, "the owner is gone"};
        CHECK(nlohmann::json::parse(error_body(failure, "r1", true))["not_run"] == false);
    }
}
