#include "apps/host/tests/host_fixture.h"

#include "http/exchange.h"

#include <doctest/doctest.h>

#include <string>

using namespace snipeshore;
using namespace apps::tests;

namespace {

const http::header_list with_key{{"x-key", "key"}, {"x-attempt-id", "id-1"}};

/// Statuses that tell a caller that its request has not run and never will.
constexpr int refusals[] = {408, 421, 429, 503};

http::response_head failure(int status, const http::header_list& extra = {})
{
    http::response_head head;
    head.status = status;
    head.headers = {{"x-attempt-id", "id-1"}, {"x-response-seal", "sealed"}};
    head.headers.insert(head.headers.end(), extra.begin(), extra.end());
    return head;
}

/// A target that fails each request with the same response, after it has run it.
class failing_fixture {
public:
    explicit failing_fixture(const http::response_head& head)
        : host(plain_config),
          target(host.loop, [head](const std::shared_ptr<http::exchange>& request) {
              request->respond(head, "stored, but the confirmation failed");
          })
    {
        host.add_target("t1", target.address());
        host.await_targets(1);
    }

    /// As a host does that has lost its paths to the targets.
    reply send_relayed(const std::string& path)
    {
        http::client client(host.loop, {});
        http::client_request request;
        request.address = host.settings.control_address;
        request.head = {"POST", "/fleet/relay" + path, "a.example", with_key};
        request.deadline = base::boot_clock::now() + std::chrono::seconds(20);
        http::tests::call_record seen;
        const auto call = http::tests::record(client, std::move(request), seen);
        REQUIRE(host.run_until([&] { return seen.end.has_value(); }));
        REQUIRE(seen.head.has_value());
        return {seen.head->status, seen.head->headers, seen.body};
    }

    host_fixture host;
    test_target target;
};

bool says_not_run(const reply& got)
{
    return got.body.find("\"not_run\":true") != std::string::npos;
}

} // namespace

// Guards against an order that is placed twice: its target had run it and failed, and the caller
// was told that it had not run.
TEST_CASE("a status that says 'not run' is not passed on for a request that may have run")
{
    SUBCASE("a request that must not be repeated fails without a promise")
    {
        for (const int status : refusals) {
            CAPTURE(status);
            failing_fixture test(failure(status, {{"retry-after", "1"}}));
            const reply got = test.host.send("/once/order", with_key, "POST", "order");
            CHECK(got.status == 502);
            CHECK_FALSE(says_not_run(got));
            CHECK_FALSE(http::find_header(got.headers, "x-response-seal").has_value());
            CHECK(test.target.requests == 1);
        }
    }
    SUBCASE("also if another host has passed it on")
    {
        for (const int status : refusals) {
            CAPTURE(status);
            failing_fixture test(failure(status));
            const reply got = test.send_relayed("/once/order");
            CHECK(got.status == 502);
            CHECK(test.target.requests == 1);
        }
    }
    SUBCASE("a target that states that it has not run the request is believed")
    {
        for (const int status : refusals) {
            CAPTURE(status);
            failing_fixture test(failure(status, {{"x-not-executed", "1"}}));
            const reply got = test.host.send("/once/order", with_key, "POST", "order");
            CHECK(got.status == 503);
            CHECK(says_not_run(got));
        }
    }
    SUBCASE("other failures of the target are passed on as they are")
    {
        for (const int status : {400, 404, 409, 500, 502, 504}) {
            CAPTURE(status);
            failing_fixture test(failure(status));
            const reply got = test.host.send("/once/order", with_key, "POST", "order");
            CHECK(got.status == status);
            CHECK(http::find_header(got.headers, "x-response-seal").has_value());
        }
    }
    SUBCASE("so are those of requests that may be repeated")
    {
        failing_fixture test(failure(429));
        CHECK(test.host.send("/safe/a", with_key).status == 429);
    }
}
