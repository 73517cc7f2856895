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

// Guards against a print run, deposit or rake cycle that runs twice, and against a refusal that
// says "not run" when the request may have run.
TEST_CASE("a request on a once route runs at most once")
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

    SUBCASE("a repeat to the owner and to another host gets the kept answer")
    {
        const http_response once =
            fleet.send(owner, "order-desk", run_request(key, ticket, "order"));
        REQUIRE(once.status == 200);
        const http_response repeat =
            fleet.send(owner, "order-desk", run_request(key, ticket, "order"));
        CHECK(repeat.status == 200);
        CHECK(repeat.header("snipeshore-replayed") == "1");
        CHECK(repeat.body == once.body);
        const http_response elsewhere =
            fleet.send(other, "order-desk", run_request(key, ticket, "order"));
        CHECK(elsewhere.header("snipeshore-replayed") == "1");
        CHECK(elsewhere.body == once.body);
        CHECK(fleet.total_runs() == 1);
    }
    SUBCASE("another host claims from the owner, and the owner then knows the answer")
    {
        const http_response once =
            fleet.send(other, "order-desk", run_request(key, ticket, "order"));
        REQUIRE(once.status == 200);
        CHECK(fleet.session().run_until(
            [&] {
                return fleet.send(owner, "order-desk", run_request(key, ticket, "order"))
                           .header("snipeshore-replayed") == "1";
            },
            base::boot_clock::now() + 10s));
        CHECK(fleet.total_runs() == 1);
    }
    SUBCASE("the claimer dies after it forwarded: the repeat learns that the outcome is unknown")
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
    SUBCASE("the owner was killed and started again: its tickets are never granted again")
    {
        REQUIRE(fleet.send(owner, "order-desk", run_request(key, ticket, "order")).status == 200);
        fleet.host(owner).entry_program->send_signal(SIGKILL);
        fleet.host(owner).entry_program->wait_exit(base::boot_clock::now() + 5s);
        const http_response gone =
            fleet.send(other, "order-desk", run_request(key, ticket, "order"));
        CHECK(gone.header("snipeshore-error") == "outcome_unknown");
        CHECK(gone.header("snipeshore-not-run").empty());
        fleet.start_entry(fleet.host(owner));
        REQUIRE(fleet.session().run_until(
            [&] { return fleet.send(owner, "order-desk", {.path = "/open"}).status == 200; },
            base::boot_clock::now() + 15s));
        const http_response again =
            fleet.send(owner, "order-desk", run_request(key, ticket, "order"));
        CHECK(again.header("snipeshore-error") == "outcome_unknown");
        CHECK(again.header("snipeshore-not-run").empty());
        CHECK(fleet.total_runs() == 1);
    }
    SUBCASE("the caller loses the answer and sends the request again")
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
    SUBCASE("with the platform down tickets still work")
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
    SUBCASE("a ticket works only for the account that asked for it")
    {
        const std::string stranger = fleet.grant_key(fleet.document()["accounts"][1]["id"]);
        REQUIRE(fleet.session().run_until(
            [&] { return fleet.lookup(owner, "order-desk", stranger).status == 200; },
            base::boot_clock::now() + 15s));
        const http_response reply =
            fleet.send(owner, "order-desk", run_request(stranger, ticket, "order"));
        CHECK(reply.header("snipeshore-error") == "ticket_invalid");
        CHECK(fleet.total_runs() == 0);
    }
}
