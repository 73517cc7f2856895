#include "tests/support/fleet.h"
#include "tests/system/test_routes.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <unistd.h>

using namespace snipeshore;
using namespace snipeshore::test;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

json body_of(const http_response& reply)
{
    return json::parse(reply.body, nullptr, false);
}

} // namespace

// Guards against failures anywhere on the path from look-up to target, and against error responses
// that do not state their cause or wrongly state that a request was not run.
TEST_CASE("a caller looks up an entry host and gets the response of a target")
{
    fleet fleet(two_domains());
    REQUIRE(fleet.await_ready(30s));
    const std::string account = fleet.document()["accounts"][0]["id"];
    const std::string key = fleet.grant_key(account);
    const std::string host = fleet.host_ids().front();
    REQUIRE(fleet.session().run_until(
        [&] { return fleet.lookup(host, "order-desk", key).status == 200; },
        base::boot_clock::now() + 15s));
    const json found = body_of(fleet.lookup(host, "order-desk", key));
    const std::string entry = found.at("host");
    REQUIRE(fleet.session().run_until(
        [&] {
            return fleet.send(entry, "order-desk", get_with_key("/stock/1", key)).status == 200;
        },
        base::boot_clock::now() + 15s));

    {
        INFO("the look-up returns a host of the fleet, and every host serves look-ups");
        CHECK(found.at("address") == fleet.address_of(entry, "entry_address"));
        for (const std::string& id : fleet.host_ids()) {
            CHECK(fleet.lookup(id, "order-desk", key).status == 200);
        }
    }
    {
        INFO("the target receives the account and the deadline but not the key");
        http_request request = get_with_key("/echo", key);
        request.headers.push_back({"snipeshore-deadline-ms", "5000"});
        const http_response reply = fleet.send(entry, "order-desk", request);
        REQUIRE(reply.status == 200);
        CHECK(reply.body.find(key) == std::string::npos);
        CHECK(reply.body.find("authorization") == std::string::npos);
        CHECK(reply.body.find(account) != std::string::npos);
        CHECK(reply.body.find("snipeshore-deadline-ms") != std::string::npos);
        CHECK(reply.body.find("traceparent") != std::string::npos);
        CHECK(reply.header("snipeshore-host") == entry);
    }
    {
        INFO("invalid requests are rejected with their error kind and marked as not run");
        const auto refused = [&](http_request request, const std::string& kind, int status) {
            const http_response reply = fleet.send(entry, "order-desk", std::move(request));
            CHECK_MESSAGE(reply.status == status, kind, reply.body);
            CHECK(reply.header("snipeshore-error") == kind);
            CHECK(reply.header("snipeshore-not-run") == "1");
            CHECK(body_of(reply)["error"] == kind);
            CHECK(body_of(reply)["detail"].get<std::string>().size() > 10);
        };
        refused({.path = "/stock/1"}, "key_missing", 401);
        refused(get_with_key("/stock/1", "wrong-key-0123456789"), "key_unknown", 401);
        refused(get_with_key("/no-such-route", key), "route_unknown", 404);
        http_request wrong_method = get_with_key("/stock/1", key);
        wrong_method.method = "DELETE";
        refused(wrong_method, "method_not_allowed", 405);
        http_request bad_deadline = get_with_key("/stock/1", key);
        bad_deadline.headers.push_back({"snipeshore-deadline-ms", "soon"});
        refused(bad_deadline, "bad_request", 400);
        http_request no_ticket = get_with_key("/run", key);
        no_ticket.method = "POST";
        refused(no_ticket, "ticket_missing", 428);
        http_request wrong_host = get_with_key("/stock/1", key);
        wrong_host.address = fleet.address_of(entry, "entry_address");
        wrong_host.authority = "elsewhere.example";
        CHECK(fleet.session().send(wrong_host).status == 421);
    }
    {
        INFO("a request with a forged ticket is rejected and not marked as not run");
        http_request forged = get_with_key("/run", key);
        forged.method = "POST";
        forged.headers.push_back({"snipeshore-ticket", "forged"});
        const http_response reply = fleet.send(entry, "order-desk", forged);
        CHECK(reply.header("snipeshore-error") == "ticket_invalid");
        CHECK(reply.header("snipeshore-not-run").empty());
    }
    {
        INFO("a route with anonymous access needs no key");
        CHECK(fleet.send(entry, "order-desk", {.path = "/open"}).status == 200);
    }
    {
        INFO("a truncated response is never delivered as complete");
        const http_response reply =
            fleet.send(entry, "order-desk", get_with_key("/truncated", key));
        CHECK_FALSE((base::is_ok(reply.outcome) && reply.status == 200));
    }
    {
        INFO("a large response is complete and is not buffered in the entry process");
        constexpr std::size_t size = 256ULL << 20U;
        const pid_t pid = fleet.host(entry).entry_program->pid();
        const std::size_t before = resident_bytes(pid);
        std::size_t max_resident = before;
        bool has_ended = false;
        http_response reply;
        http_request request = get_with_key("/bytes?n=" + std::to_string(size), key);
        request.address = fleet.address_of(entry, "entry_address");
        request.authority = fleet.service_host_name("order-desk");
        request.timeout = 60s;
        fleet.session().start(request, [&](const http_response& end) {
            reply = end;
            has_ended = true;
        });
        CHECK(fleet.session().run_until(
            [&] {
                max_resident = std::max(max_resident, resident_bytes(pid));
                return has_ended;
            },
            base::boot_clock::now() + 60s));
        CHECK(base::is_ok(reply.outcome));
        CHECK(reply.body.size() == size);
        constexpr std::size_t allowed_growth = 64ULL << 20U;
        CHECK(max_resident - before < allowed_growth);
    }
    {
        INFO("the request of a caller that disconnects is cancelled at the target");
        const auto cancelled = [&] {
            std::size_t count = 0;
            for (const json& target : fleet.document()["services"][0]["targets"]) {
                count += fleet.target_runs(target["id"]).value("cancelled", std::size_t{0});
            }
            return count;
        };
        const auto running = [&] {
            return fleet.entry_dump(entry).value("requests", std::size_t{0});
        };
        const std::size_t before = cancelled();
        http_request slow = get_with_key("/slow?ms=30000", key);
        slow.address = fleet.address_of(entry, "entry_address");
        slow.authority = fleet.service_host_name("order-desk");
        const std::uint64_t call = fleet.session().start(slow, [](const http_response&) {});
        REQUIRE(fleet.session().run_until([&] { return running() == 1; },
                                          base::boot_clock::now() + 10s));
        fleet.session().cancel(call);
        CHECK(fleet.session().run_until([&] { return cancelled() == before + 1; },
                                        base::boot_clock::now() + 10s));
    }
    {
        INFO("no log contains the key");
        CHECK(fleet.all_logs().find(key) == std::string::npos);
    }
}

// Guards against failures of TLS or HTTP/2 between callers and the entry process.
TEST_CASE("the entry process serves callers over TLS with HTTP/1.1 and HTTP/2")
{
    const std::string certificate = "/tmp/snipeshore-path-test-" + std::to_string(getpid());
    const command_result made =
        run_command("/usr/bin/openssl",
                    {"req", "-x509", "-newkey", "rsa:2048", "-nodes", "-days", "2", "-subj",
                     "/CN=entry", "-keyout", certificate + ".key", "-out", certificate + ".crt"},
                    20s);
    REQUIRE_MESSAGE(made.status == 0, made.output);
    fleet_settings settings = two_domains();
    settings.entry_flags = {"--tls_certificate=" + certificate + ".crt",
                            "--tls_key=" + certificate + ".key"};
    fleet fleet(std::move(settings));
    REQUIRE(fleet.await_ready(30s));
    const std::string key = fleet.grant_key(fleet.document()["accounts"][0]["id"]);
    const std::string address = fleet.address_of(fleet.host_ids().front(), "entry_address");
    const auto curl = [&](const std::string& version) {
        return run_command("/usr/bin/curl",
                           {"-sS", "-k", version, "-o", "/dev/null", "-w",
                            "%{http_code} %{http_version}", "-H", "Authorization: Bearer " + key,
                            "-H", "Host: " + fleet.service_host_name("order-desk"),
                            "https://" + address + "/stock/1"},
                           20s)
            .output;
    };
    CHECK(fleet.session().run_until([&] { return curl("--http1.1") == "200 1.1"; },
                                    base::boot_clock::now() + 20s));
    CHECK(curl("--http2") == "200 2");
    unlink((certificate + ".key").c_str());
    unlink((certificate + ".crt").c_str());
}
