#include "targets/forwarded_head.h"

#include <doctest/doctest.h>

#include <rapidcheck.h>

#include <algorithm>

namespace snipeshore::targets::tests {

namespace {

forward_context make_context()
{
    forward_context context;
    context.account = base::account_id("jasmin");
    context.request_id = "r-1";
    context.now = base::time_point(std::chrono::seconds(100));
    context.deadline = context.now + std::chrono::milliseconds(2500);
    context.traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    return context;
}

http::request_head make_request(http::header_list headers)
{
    http::request_head head;
    head.method = "POST";
    head.path = "/orders?x=1";
    head.authority = "order-desk";
    head.headers = std::move(headers);
    return head;
}

} // namespace

TEST_CASE("the forwarded request contains the added headers")
{
    const auto out = make_forwarded_head(
        make_request({{"accept", "text/plain"}, {"x-a", "1"}, {"x-a", "2"}}), make_context());
    CHECK(out.method == "POST");
    CHECK(out.path == "/orders?x=1");
    CHECK(out.authority == "order-desk");
    CHECK(http::find_header(out.headers, "accept") == "text/plain");
    CHECK(std::count_if(out.headers.begin(), out.headers.end(),
                        [](const http::header& header) { return header.name == "x-a"; }) == 2);
    CHECK(http::find_header(out.headers, "snipeshore-account") == "jasmin");
    CHECK(http::find_header(out.headers, "snipeshore-request-id") == "r-1");
    CHECK(http::find_header(out.headers, "snipeshore-deadline-ms") == "2500");
    CHECK(http::find_header(out.headers, "traceparent") == make_context().traceparent);
}

TEST_CASE("key, ticket and forged headers are not forwarded")
{
    const auto out = make_forwarded_head(make_request({{"authorization", "Bearer secret"},
                                                       {"proxy-authorization", "Basic secret"},
                                                       {"snipeshore-ticket", "secret"},
                                                       {"snipeshore-account", "forged"},
                                                       {"snipeshore-request-id", "forged"},
                                                       {"snipeshore-deadline-ms", "forged"},
                                                       {"snipeshore-new", "forged"},
                                                       {"traceparent", "forged"}}),
                                         make_context());
    for (const http::header& header : out.headers) {
        CAPTURE(header.name);
        CHECK(header.value.find("secret") == std::string::npos);
        CHECK(header.value.find("forged") == std::string::npos);
    }
}

TEST_CASE("an anonymous request has no account header")
{
    auto context = make_context();
    context.account = {};
    const auto out = make_forwarded_head(make_request({{"snipeshore-account", "forged"}}), context);
    CHECK_FALSE(http::find_header(out.headers, "snipeshore-account"));
}

TEST_CASE("a deadline in the past is forwarded as 0 ms")
{
    auto context = make_context();
    context.deadline = context.now - std::chrono::seconds(1);
    const auto out = make_forwarded_head(make_request({}), context);
    CHECK(http::find_header(out.headers, "snipeshore-deadline-ms") == "0");
}

TEST_CASE("hop-by-hop headers are removed")
{
    const http::header_list headers = {{"connection", "close, X-Hop"},
                                       {"connection", "x-other"},
                                       {"keep-alive", "timeout=5"},
                                       {"te", "trailers"},
                                       {"transfer-encoding", "chunked"},
                                       {"upgrade", "h2c"},
                                       {"http2-settings", "AAMAAABk"},
                                       {"content-length", "3"},
                                       {"expect", "100-continue"},
                                       {"x-hop", "1"},
                                       {"x-other", "1"},
                                       {"x-kept", "1"}};
    SUBCASE("from requests")
    {
        auto context = make_context();
        context.traceparent.clear();
        const auto out = make_forwarded_head(make_request(headers), context);
        CHECK(http::find_header(out.headers, "x-kept") == "1");
        CHECK(out.headers.size() == 4);
    }
    SUBCASE("from responses")
    {
        http::response_head response;
        response.status = 206;
        response.content_length = 3;
        response.headers = headers;
        response.headers.push_back({"snipeshore-draining", "1"});
        const auto out = make_returned_head(response);
        CHECK(out.status == 206);
        CHECK(out.content_length == 3);
        CHECK(out.headers.size() == 1);
        CHECK(http::find_header(out.headers, "x-kept") == "1");
    }
}

TEST_CASE("a trace is continued or started")
{
    trace_random random;
    random.trace = {0x1111111111111111, 0x2222222222222222};
    random.span = 0x3333333333333333;
    SUBCASE("a valid trace is continued with a new parent id")
    {
        CHECK(make_traceparent("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", random) ==
              "00-0af7651916cd43dd8448eb211c80319c-3333333333333333-01");
    }
    SUBCASE("a missing or invalid trace is replaced by a new trace")
    {
        const std::string new_trace = "00-11111111111111112222222222222222-3333333333333333-00";
        CHECK(make_traceparent(std::nullopt, random) == new_trace);
        CHECK(make_traceparent("00-zz", random) == new_trace);
        CHECK(make_traceparent("00-00000000000000000000000000000000-b7ad6b7169203331-01", random) ==
              new_trace);
        CHECK(make_traceparent("00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01", random) ==
              new_trace);
    }
    SUBCASE("zero random bits still give a valid trace")
    {
        CHECK(make_traceparent(std::nullopt, {}) ==
              "00-00000000000000000000000000000001-0000000000000001-00");
    }
    SUBCASE("each result is valid for the next hop")
    {
        rc::check(
            "a generated traceparent is continued",
            [](std::uint64_t a, std::uint64_t b, std::uint64_t c, const std::string& incoming) {
                trace_random first;
                first.trace = {a, b};
                first.span = c;
                trace_random second;
                second.span = 7;
                const auto generated = make_traceparent(incoming, first);
                const auto next = make_traceparent(generated, second);
                RC_ASSERT(next.substr(0, 36) == generated.substr(0, 36));
            });
    }
}

} // namespace snipeshore::targets::tests
