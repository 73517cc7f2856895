#include "apps/host/tests/fleet_fixture.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>

using namespace snipeshore;
using namespace apps::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t cut_host = 0;
constexpr std::size_t other_host = 1;

/// From this long after the cut, the fleet has to serve as before.
constexpr std::chrono::milliseconds detection_limit = 3000ms;

} // namespace

// Guards against refusals by a host that has lost its links to all targets, while other hosts, the
// store and the callers still reach it (RECOVER): it refused nearly all requests, and look-ups went
// on naming it.
TEST_CASE("callers of a host that reaches no target are served")
{
    fleet_fixture fleet(3, 6);
    REQUIRE(fleet.count_served(cut_host, 20) == 20);
    bool hangs = false;
    SUBCASE("its connections are closed and new ones refused") {}
    SUBCASE("its connections are silent and new ones hang")
    {
        hangs = true;
    }
    for (const auto& link : fleet.links(cut_host)) {
        if (hangs) {
            link->hang();
        } else {
            link->refuse();
        }
    }
    const base::time_point begun = base::boot_clock::now();
    while (base::boot_clock::now() < begun + detection_limit) {
        fleet.count_served(cut_host, 1);
        fleet.run_for(50ms);
    }

    constexpr int tries = 60;
    const int others_served = fleet.count_served(other_host, tries);
    const int served = fleet.count_served(cut_host, tries);
    CHECK(others_served == tries);
    CHECK(served * 3 >= others_served * 2);
    CHECK_FALSE(fleet.names(other_host, cut_host));
    CHECK(fleet.app(cut_host).is_ready());

    for (const auto& link : fleet.links(cut_host)) {
        link->restore();
    }
    CHECK(fleet.run_until([&] { return fleet.names(other_host, cut_host); }));
    const int before = fleet.runs_through(cut_host);
    CHECK(fleet.count_served(cut_host, tries) == tries);
    CHECK(fleet.runs_through(cut_host) == before + tries);
}

namespace {

/// Three hosts, of which the first has lost all its links and the others know it.
class cut_fixture : public fleet_fixture {
public:
    cut_fixture() : fleet_fixture(3, 6)
    {
        for (const auto& link : links(cut_host)) {
            link->refuse();
        }
        REQUIRE(run_until([&] {
            count_served(cut_host, 1);
            return !names(other_host, cut_host);
        }));
    }

    /// The link that a request with this id has passed.
    target_link* find_run(const std::string& id)
    {
        for (std::size_t host = 0; host < 3; ++host) {
            for (const auto& one : links(host)) {
                if (one->runs.contains(id)) {
                    return one.get();
                }
            }
        }
        return nullptr;
    }
};

std::string header_of(const http::request_head& head, std::string_view name)
{
    return std::string(http::find_header(head.headers, name).value_or(""));
}

} // namespace

TEST_CASE("a relayed request reaches its target as its caller sent it")
{
    cut_fixture fleet;
    const std::string body(300'000, 'b');
    const reply got = fleet.send(cut_host, "/once/a%20b?c=d", "POST", body,
                                 {{"x-attempt-id", "relayed"},
                                  {"x-deadline-ms", "1500"},
                                  {"x-tenant", "forged"},
                                  {"cookie", "x=y"}});
    CHECK(got.status == 200);
    CHECK(got.body == "whole answer");
    CHECK(http::find_header(got.headers, "x-response-seal").has_value());
    CHECK(fleet.runs_of("relayed") == 1);
    const target_link* link = fleet.find_run("relayed");
    REQUIRE(link != nullptr);
    CHECK(link->last_head.method == "POST");
    CHECK(link->last_head.path == "/once/a%20b?c=d");
    CHECK(link->last_head.authority == "a.example");
    CHECK(link->last_body == body);
    SUBCASE("with the account of its key, without the key")
    {
        CHECK(header_of(link->last_head, "x-tenant") == "coop");
        CHECK(header_of(link->last_head, "x-key").empty());
        CHECK(header_of(link->last_head, "cookie") == "x=y");
    }
    SUBCASE("with the time that is left")
    {
        const int left = std::stoi(header_of(link->last_head, "x-deadline-ms"));
        CHECK(left > 0);
        CHECK(left <= 1500);
    }
    SUBCASE("without headers of the relay")
    {
        for (const http::header& field : link->last_head.headers) {
            CHECK(field.name.find("snipeshore") == std::string::npos);
        }
    }
}

TEST_CASE("a host without targets refuses what no other host may relay")
{
    cut_fixture fleet;
    SUBCASE("a request without a route or a key gets the same answer as before")
    {
        CHECK(fleet.send(cut_host, "/none/one").status == 404);
    }
    SUBCASE("requests are refused at once if no host reaches targets, and look-ups name all")
    {
        for (std::size_t host = 1; host < 3; ++host) {
            for (const auto& link : fleet.links(host)) {
                link->refuse();
            }
        }
        CHECK(fleet.run_until([&] {
            fleet.count_served(1, 1);
            fleet.count_served(2, 1);
            return fleet.names(other_host, cut_host);
        }));
        const reply got = fleet.send(cut_host, "/safe/one");
        CHECK(got.status == 503);
        CHECK(http::find_header(got.headers, "retry-after").has_value());
        CHECK(got.body.find("\"not_run\":true") != std::string::npos);
    }
    SUBCASE("another host that has just lost its links too is passed over")
    {
        for (const auto& link : fleet.links(1)) {
            link->refuse();
        }
        CHECK(fleet.run_until([&] { return fleet.count_served(cut_host, 10) == 10; }));
    }
}

// Guards against requests that run twice, or that no host takes, because of headers of the relay
// that a target or a caller has sent.
TEST_CASE("headers of the relay count only between hosts")
{
    cut_fixture fleet;
    SUBCASE("a target's response that looks like a refusal to relay is an answer")
    {
        for (std::size_t host = 1; host < 3; ++host) {
            for (const auto& link : fleet.links(host)) {
                link->extra_header = {"snipeshore-relay-refused", "1"};
            }
        }
        CHECK(fleet.send(cut_host, "/once/one", "POST", "", {{"x-attempt-id", "one"}}).status ==
              200);
        CHECK(fleet.runs_of("one") == 1);
    }
    SUBCASE("a caller's configuration version is not that of its host")
    {
        CHECK(fleet.send(cut_host, "/safe/one", "GET", "", {{"snipeshore-relay-config", "9999"}})
                  .status == 200);
    }
}

TEST_CASE("a request from the control address is not relayed again")
{
    cut_fixture fleet;
    http::client client(fleet.loop, {});
    http::client_request request;
    request.address = fleet.settings(cut_host).control_address;
    request.head = {"GET", "/fleet/relay/safe/one", "a.example", {{"x-key", "key"}}};
    request.deadline = base::boot_clock::now() + 5s;
    std::optional<http::response_head> got;
    const auto call = client.fetch(
        std::move(request), 1U << 20U,
        [&got](const base::result<std::pair<http::response_head, std::string>>& result, bool) {
            got = base::is_ok(result) ? base::value_of(result).first : http::response_head{};
        });
    REQUIRE(fleet.run_until([&] { return got.has_value(); }));
    CHECK(got->status == 503);
    CHECK(http::find_header(got->headers, "snipeshore-relay-refused").has_value());
}

TEST_CASE("a host that relays sees its callers leave, and ends with its planned stop")
{
    cut_fixture fleet;
    for (std::size_t host = 1; host < 3; ++host) {
        for (const auto& link : fleet.links(host)) {
            link->hold();
        }
    }
    const auto held = [&] {
        std::size_t count = 0;
        for (std::size_t host = 1; host < 3; ++host) {
            for (const auto& link : fleet.links(host)) {
                count += link->held_from_callers();
            }
        }
        return count;
    };
    const auto answer_held = [&] {
        for (std::size_t host = 1; host < 3; ++host) {
            for (const auto& link : fleet.links(host)) {
                link->answer_held();
            }
        }
    };
    std::optional<reply> got;
    auto call = fleet.begin(cut_host, "/once/held", "held", got);
    REQUIRE(fleet.run_until([&] { return held() == 1; }));
    SUBCASE("the target's connection is closed when the caller leaves")
    {
        call.reset();
        CHECK(fleet.run_until([&] { return held() == 0; }));
    }
    SUBCASE("a stop of the host that relays waits for the answer")
    {
        fleet.app(cut_host).stop();
        fleet.run_for(300ms);
        answer_held();
        CHECK(fleet.run_until([&] { return got.has_value(); }));
        CHECK(got->status == 200);
    }
    SUBCASE("and so does a stop of the host that it relays through")
    {
        fleet.app(1).stop();
        fleet.app(2).stop();
        fleet.run_for(300ms);
        answer_held();
        CHECK(fleet.run_until([&] { return got.has_value(); }));
        CHECK(got->status == 200);
    }
    CHECK(fleet.runs_of("held") == (got.has_value() ? 1 : 0));
}
