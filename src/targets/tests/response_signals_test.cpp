#include "targets/response_signals.h"

#include <doctest/doctest.h>

namespace snipeshore::targets::tests {

namespace {

http::response_head make_head(int status, http::header_list headers = {})
{
    http::response_head head;
    head.status = status;
    head.headers = std::move(headers);
    return head;
}

} // namespace

TEST_CASE("only 503 and 429 with Retry-After count as load shedding")
{
    CHECK(read_signals(make_head(503, {{"retry-after", "2"}})).is_shed);
    CHECK(read_signals(make_head(429, {{"retry-after", "2"}})).is_shed);
    // A request with a 503 without Retry-After may have run, so it must not be treated as "not
    // run".
    CHECK_FALSE(read_signals(make_head(503)).is_shed);
    CHECK_FALSE(read_signals(make_head(429)).is_shed);
    CHECK_FALSE(read_signals(make_head(500, {{"retry-after", "2"}})).is_shed);
    CHECK_FALSE(read_signals(make_head(200, {{"retry-after", "2"}})).is_shed);
}

TEST_CASE("Retry-After is read as seconds")
{
    const auto after = [](const char* text) {
        return read_signals(make_head(503, {{"retry-after", text}})).retry_after;
    };
    CHECK(after("2") == std::chrono::seconds(2));
    CHECK(after("999999999") == std::chrono::hours(1));
    CHECK_FALSE(after("Wed, 21 Oct 2026 07:28:00 GMT"));
    CHECK_FALSE(after("-1"));
    CHECK_FALSE(after(""));
}

TEST_CASE("a drain is announced on any response")
{
    CHECK(read_signals(make_head(200, {{"snipeshore-draining", "1"}})).is_draining);
    CHECK(read_signals(make_head(503, {{"snipeshore-draining", "1"}})).is_draining);
    CHECK_FALSE(read_signals(make_head(200, {{"snipeshore-draining", "0"}})).is_draining);
    CHECK_FALSE(read_signals(make_head(200)).is_draining);
}

TEST_CASE("health is read from header, body and status")
{
    CHECK(read_health(make_head(200), "") == health_state::healthy);
    CHECK(read_health(make_head(204), "not json") == health_state::healthy);
    CHECK(read_health(make_head(200), R"({"status":"ok"})") == health_state::healthy);
    CHECK(read_health(make_head(200), R"({"status":"draining"})") == health_state::draining);
    CHECK(read_health(make_head(503), R"({"status":"draining"})") == health_state::draining);
    CHECK(read_health(make_head(200, {{"snipeshore-draining", "1"}}), "") ==
          health_state::draining);
    CHECK(read_health(make_head(503), "") == health_state::unhealthy);
    CHECK(read_health(make_head(302), "") == health_state::unhealthy);
    CHECK(read_health(make_head(200), R"({"status":7})") == health_state::healthy);
}

TEST_CASE("missing or invalid load values are rejected")
{
    const auto load = read_load(make_head(200), R"({"slots":3,"running":2,"queued":1})");
    REQUIRE(load);
    CHECK(load->slots == 3);
    CHECK(load->running == 2);
    CHECK(load->queued == 1);
    for (const char* body :
         {"", "[]", "{", R"({"slots":3,"running":2})", R"({"slots":0,"running":0,"queued":0})",
          R"({"slots":3,"running":-2,"queued":1})", R"({"slots":3,"running":"2","queued":1})",
          R"({"slots":3,"running":1e300,"queued":1})",
          R"({"slots":3,"running":4294967296,"queued":1})"}) {
        CAPTURE(body);
        CHECK_FALSE(read_load(make_head(200), body));
    }
    CHECK_FALSE(read_load(make_head(500), R"({"slots":3,"running":2,"queued":1})"));
}

// Guards against a stack overflow when the body is copied.
TEST_CASE("a deeply nested body has no signals")
{
    constexpr std::size_t depth = 400'000;
    const std::string body =
        R"({"status":)" + std::string(depth, '[') + std::string(depth, ']') + "}";
    CHECK_FALSE(read_load(make_head(200), body).has_value());
    CHECK(read_health(make_head(200), body) == health_state::healthy);
}

} // namespace snipeshore::targets::tests
