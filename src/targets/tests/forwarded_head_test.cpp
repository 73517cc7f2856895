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

TEST_CASE("the target gets the request with the system's headers")
{
    const auto out = make_forwarded_head(
        make_request({{"accept", "text/plain"}, {"x-a", "1"}, {"x-a", "2"}}), make_context());
    CHECK(out.method == "POST");
    CHECK(out.path == "/orders?x=1");
    CHECK(out.authority == "order-desk");
    CHECK(http::find_header(out.headers, "accept") == "text/plain");
    CHECK(std::count_if(out.headers.begin(), out.headers.end(),
                        [](const http::header& one) { return one.name == "x-a"; }) == 2);
    CHECK(http::find_header(out.headers, "snipeshore-account") == "jasmin");
    CHECK(http::find_header(out.headers, "snipeshore-request-id") == "r-1");
    CHECK(http::find_header(out.headers, "snipeshore-deadline-ms") == "2500");
    CHECK(http::find_header(out.headers, "traceparent") == make_context().traceparent);
}

TEST_CASE("the target sees neither key nor ticket nor forged headers")
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
    for (const http::header& one : out.headers) {
        CAPTURE(one.name);
        CHECK(one.value.find("secret") == std::string::npos);
        CHECK(one.value.find("forged") == std::string::npos);
    }
}

TEST_CASE("an open route has no account")
{
    auto context = make_context();
    context.account = {};
    const auto out = make_forwarded_head(make_request({{"snipeshore-account", "forged"}}), context);
    CHECK_FALSE(http::find_header(out.headers, "snipeshore-account"));
}

TEST_CASE("a deadline that has passed leaves no time")
{
    auto context = make_context();
    context.deadline = context.now - std::chrono::seconds(1);
    const auto out = make_forwarded_head(make_request({}), context);
    CHECK(http::find_header(out.headers, "snipeshore-deadline-ms") == "0");
}

TEST_CASE("hop-by-hop headers end here")
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
    SUBCASE("in requests")
    {
        auto context = make_context();
        context.traceparent.clear();
        const auto out = make_forwarded_head(make_request(headers), context);
        CHECK(http::find_header(out.headers, "x-kept") == "1");
        CHECK(out.headers.size() == 4);
    }
    SUBCASE("in responses")
    {
        http::response_head from;
        from.status = 206;
        from.content_length = 3;
        from.headers = headers;
        from.headers.push_back({"snipeshore-draining", "1"});
        const auto out = make_returned_head(from);
        CHECK(out.status == 206);
        CHECK(out.content_length == 3);
        CHECK(out.headers.size() == 1);
        CHECK(http::find_header(out.headers, "x-kept") == "1");
    }
}

TEST_CASE("a trace is continued or begun")
{
    trace_random random;
    random.trace = {0x1111111111111111, 0x2222222222222222};
    random.span = 0x3333333333333333;
    SUBCASE("a valid one is continued with a new parent")
    {
        CHECK(make_traceparent("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", random) ==
              "00-0af7651916cd43dd8448eb211c80319c-3333333333333333-01");
    }
    SUBCASE("no trace or an invalid one is replaced")
    {
        const std::string begun = "00-11111111111111112222222222222222-3333333333333333-00";
        CHECK(make_traceparent(std::nullopt, random) == begun);
        CHECK(make_traceparent("00-zz", random) == begun);
        CHECK(make_traceparent("00-00000000000000000000000000000000-b7ad6b7169203331-01", random) ==
              begun);
        CHECK(make_traceparent("00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01", random) ==
              begun);
    }
    SUBCASE("random zeros give no invalid trace")
    {
        CHECK(make_traceparent(std::nullopt, {}) ==
              "00-00000000000000000000000000000001-0000000000000001-00");
    }
    SUBCASE("each result is valid for the next hop")
    {
        rc::check("a made traceparent is continued",
                  [](std::uint64_t a, std::uint64_t b, std::uint64_t c, const std::string& noise) {
                      trace_random first;
                      first.trace = {a, b};
                      first.span = c;
                      trace_random second;
                      second.span = 7;
                      const auto made = make_traceparent(noise, first);
                      const auto next = make_traceparent(made, second);
                      RC_ASSERT(next.substr(0, 36) == made.substr(0, 36));
                  });
    }
}

} // namespace snipeshore::targets::tests
