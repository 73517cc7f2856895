#include "tests/support/fleet.h"
#include "tests/system/test_routes.h"

#include <doctest/doctest.h>

#include <chrono>
#include <csignal>

using namespace snipeshore;
using namespace snipeshore::test;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

http_request run_request(const std::string& key, const std::string& ticket, const std::string& body)
{
    http_request request;
    request.method = "POST";
    request.path = "/run";
    request.headers = {{"authorization", "Bearer " + key}, {"snipeshore-ticket", ticket}};
    request.body = body;
    return request;
}

} // namespace

// Guards against a print run, deposit or rake cycle that is executed twice, and against an error
// response that states "not run" although the request may have been executed.
TEST_CASE("a request to a non-idempotent route is executed at most once")
{
    fleet fleet(two_domains());
    REQUIRE(fleet.await_ready(30s));
    const std::string key = fleet.grant_key(fleet.document()["accounts"][0]["id"]);
    const std::string first = fleet.host_ids().front();
    REQUIRE(fleet.session().run_until(
        [&] { return fleet.lookup(first, "order-desk", key, true).status == 200; },
        base::boot_clock::now() + 15s));
    const json found = json::parse(fleet.lookup(first, "order-desk", key, true).body);
    const std::string owner = found.at("host");
    const std::string ticket = found.at("ticket");
    const std::string other =
        fleet.host_ids().front() == owner ? fleet.host_ids().back() : fleet.host_ids().front();
    REQUIRE(fleet.session().run_until(
        [&] {
            const http_request echo = get_with_key("/echo", key);
            return fleet.send(owner, "order-desk", echo).status == 200 &&
                   fleet.send(other, "order-desk", echo).status == 200;
        },
        base::boot_clock::now() + 15s));

    SUBCASE("a repeated request to the owner or to another host gets the cached response")
    {
        const http_response original =
            fleet.send(owner, "order-desk", run_request(key, ticket, "order"));
        REQUIRE(original.status == 200);
        const http_response repeat =
            fleet.send(owner, "order-desk", run_request(key, ticket, "order"));
        CHECK(repeat.status == 200);
        CHECK(repeat.header("snipeshore-replayed") == "1");
        CHECK(repeat.body == original.body);
        const http_response from_other_host =
            fleet.send(other, "order-desk", run_request(key, ticket, "order"));
        CHECK(from_other_host.header("snipeshore-replayed") == "1");
        CHECK(from_other_host.body == original.body);
        CHECK(fleet.total_runs() == 1);
    }
    SUBCASE("another host claims the ticket from the owner, and the owner then has the response")
    {
        const http_response original =
            fleet.send(other, "order-desk", run_request(key, ticket, "order"));
        REQUIRE(original.status == 200);
        CHECK(fleet.session().run_until(
            [&] {
                return fleet.send(owner, "order-desk", run_request(key, ticket, "order"))
                           .header("snipeshore-replayed") == "1";
            },
            base::boot_clock::now() + 10s));
        CHECK(fleet.total_runs() == 1);
    }
    SUBCASE("after the claimer crashes with a forwarded request, a repeat gets outcome_unknown")
    {
        bool has_ended = false;
        http_request slow = run_request(key, ticket, "order");
        slow.path = "/run?ms=3000";
        slow.address = fleet.address_of(other, "entry_address");
        slow.authority = fleet.service_host_name("order-desk");
        fleet.session().start(slow, [&](const http_response&) { has_ended = true; });
        REQUIRE(fleet.session().run_until([&] { return fleet.total_runs() == 1; },
                                          base::boot_clock::now() + 10s));
        fleet.host(other).entry_program->send_signal(SIGKILL);
        REQUIRE(
            fleet.session().run_until([&] { return has_ended; }, base::boot_clock::now() + 10s));
        const http_response repeat =
            fleet.send(owner, "order-desk", run_request(key, ticket, "order"));
        CHECK(repeat.header("snipeshore-error") == "outcome_unknown");
        CHECK(repeat.header("snipeshore-not-run").empty());
        CHECK(fleet.total_runs() == 1);
    }
    SUBCASE("after the owner restarts, requests with its earlier tickets are not executed again")
    {
        REQUIRE(fleet.send(owner, "order-desk", run_request(key, ticket, "order")).status == 200);
        fleet.host(owner).entry_program->send_signal(SIGKILL);
        fleet.host(owner).entry_program->wait_exit(base::boot_clock::now() + 5s);
        const http_response during_outage =
            fleet.send(other, "order-desk", run_request(key, ticket, "order"));
        CHECK(during_outage.header("snipeshore-error") == "outcome_unknown");
        CHECK(during_outage.header("snipeshore-not-run").empty());
        fleet.start_entry(fleet.host(owner));
        REQUIRE(fleet.session().run_until(
            [&] { return fleet.send(owner, "order-desk", {.path = "/open"}).status == 200; },
            base::boot_clock::now() + 15s));
        const http_response after_restart =
            fleet.send(owner, "order-desk", run_request(key, ticket, "order"));
        CHECK(after_restart.header("snipeshore-error") == "outcome_unknown");
        CHECK(after_restart.header("snipeshore-not-run").empty());
        CHECK(fleet.total_runs() == 1);
    }
    SUBCASE("the caller disconnects before the response and sends the request again")
    {
        http_request slow = run_request(key, ticket, "order");
        slow.path = "/run?ms=500";
        slow.address = fleet.address_of(owner, "entry_address");
        slow.authority = fleet.service_host_name("order-desk");
        const std::uint64_t call = fleet.session().start(slow, [](const http_response&) {});
        REQUIRE(fleet.session().run_until([&] { return fleet.total_runs() == 1; },
                                          base::boot_clock::now() + 10s));
        fleet.session().cancel(call);
        CHECK(fleet.session().run_until(
            [&] {
                return fleet.send(owner, "order-desk", run_request(key, ticket, "order"))
                           .header("snipeshore-replayed") == "1";
            },
            base::boot_clock::now() + 10s));
        CHECK(fleet.total_runs() == 1);
    }
    SUBCASE("tickets work while the platform is down")
    {
        fleet.set_platform_faults({{"down", true}});
        const json fresh = json::parse(fleet.lookup(first, "order-desk", key, true).body);
        const std::string host = fresh.at("host");
        CHECK(fleet.send(host, "order-desk", run_request(key, fresh.at("ticket"), "b")).status ==
              200);
        CHECK(fleet.send(host, "order-desk", run_request(key, fresh.at("ticket"), "b"))
                  .header("snipeshore-replayed") == "1");
        CHECK(fleet.total_runs() == 1);
    }
    SUBCASE("a ticket is valid only for the account that it was issued to")
    {
        const std::string other_key = fleet.grant_key(fleet.document()["accounts"][1]["id"]);
        REQUIRE(fleet.session().run_until(
            [&] { return fleet.lookup(owner, "order-desk", other_key).status == 200; },
            base::boot_clock::now() + 15s));
        const http_response reply =
            fleet.send(owner, "order-desk", run_request(other_key, ticket, "order"));
        CHECK(reply.header("snipeshore-error") == "ticket_invalid");
        CHECK(fleet.total_runs() == 0);
    }
}
