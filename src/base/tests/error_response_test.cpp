#include "base/error_response.h"
#include "base/types/error.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <set>
#include <string>

using namespace snipeshore::base;

// Guards against two error kinds with the same name, and against reporting "not run" for kinds that
// occur after bytes were sent to a target.
TEST_CASE("table of error responses")
{
    SUBCASE("every kind has a unique name and an HTTP error status")
    {
        std::set<std::string> names;
        for (std::uint8_t index = 0; index < error_kind_count; ++index) {
            const error_response& response = response_for(static_cast<error_kind>(index));
            CHECK(names.insert(std::string(response.name)).second);
            CHECK(response.http_status >= 400);
            CHECK(response.http_status < 600);
        }
    }
    SUBCASE("kinds that occur after a request may have run are not marked as not run")
    {
        for (const error_kind kind :
             {error_kind::deadline_exceeded, error_kind::outcome_unknown, error_kind::target_failed,
              error_kind::answer_invalid, error_kind::store_unknown, error_kind::cancelled,
              error_kind::internal}) {
            CHECK_FALSE(response_for(kind).not_run);
        }
    }
    SUBCASE("the body escapes caller-supplied text in the detail")
    {
        const error failure{error_kind::bad_request, "header \"x\"\n\xff"};
        const auto body = nlohmann::json::parse(error_body(failure, "r1", true));
        CHECK(body["error"] == "bad_request");
        CHECK(body["not_run"] == true);
        CHECK(body["request_id"] == "r1");
    }
    SUBCASE("the body does not report not run for a kind that occurs after a request may have run")
    {
        const error failure{error_kind::outcome_unknown, "the ticket owner is unreachable"};
        CHECK(nlohmann::json::parse(error_body(failure, "r1", true))["not_run"] == false);
    }
}
