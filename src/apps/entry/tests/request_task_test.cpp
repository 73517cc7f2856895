#include "apps/entry/request_task.h"

#include "apps/common/fleet_state.h"
#include "apps/entry/crash_monitor.h"
#include "apps/entry/entry_services.h"
#include "apps/entry/share_manager.h"
#include "apps/entry/ticket_service.h"
#include "http/exchange.h"
#include "http/server.h"
#include "http/tests/late_target.h"
#include "http/tests/test_certificate.h"
#include "http/tests/test_support.h"
#include "inner/node.h"
#include "telemetry/metrics.h"
#include "tickets/ticket_encoding.h"

#include <doctest/doctest.h>

#include <unistd.h>

#include <atomic>
#include <memory>
#include <optional>
#include <string>

using namespace snipeshore;
using namespace snipeshore::http::tests;

namespace {

const base::incarnation incarnation(1);
const apps::entry_identity identity{base::host_id("h1"), base::failure_domain_id("z1"), "secret"};

struct reply {
    int status = 0; ///< 0: the connection ended without a complete response.
    http::header_list headers;
    std::string body;

    std::string header(std::string_view name) const
    {
        return std::string(http::find_header(headers, name).value_or(""));
    }
};

config::route make_route(const std::string& prefix, const std::string& method,
                         config::repeat repeats)
{
    config::route route;
    route.path_prefix = prefix;
    route.methods = {method};
    route.who = config::access::open;
    route.repeats = repeats;
    return route;
}

std::shared_ptr<const config::document> make_config(const std::string& target_address)
{
    auto document = std::make_shared<config::document>();
    config::host host;
    host.id = identity.host;
    host.failure_domain = identity.failure_domain;
    document->hosts.push_back(host);
    config::service service;
    service.id = base::service_id("svc");
    service.host_names = {"test"};
    service.routes = {make_route("/once", "POST", config::repeat::once),
                      make_route("/safe", "GET", config::repeat::idempotent)};
    service.targets = {{base::target_id("t1"), identity.failure_domain, target_address, 4, 4}};
    document->services.push_back(service);
    return document;
}

/// The part of an entry process that forwards requests, with one target.
class entry_fixture {
public:
    explicit entry_fixture(const std::string& target_address,
                           const test_certificate* certificate = nullptr)
        : m_server(m_loop, [this](std::shared_ptr<http::exchange> exchange) {
              apps::request_task::start(m_services, std::move(exchange));
          })
    {
        m_fleet.config = make_config(target_address);
        const config::service& service = m_fleet.config->services.front();
        const base::time_point now = base::boot_clock::now();
        apps::service_pool& pool =
            m_services.pools.emplace(service.id, apps::make_pool(service, now)).first->second;
        apps::update_pool(pool, service, m_fleet, identity.host, identity.failure_domain, now);
        m_server.limit_bodies({[this](const http::request_head& head, base::time_point arrived) {
                                   return apps::body_deadline(m_services, head, arrived);
                               },
                               [this](const http::request_head& head) {
                                   return apps::refuse_unfinished(m_services, head);
                               }});
        http::server_settings settings;
        settings.address = "127.0.0.1:0";
        if (certificate != nullptr) {
            settings.certificate_file = certificate->certificate();
            settings.key_file = certificate->key();
        }
        REQUIRE(base::is_ok(m_server.listen(settings)));
    }

    reply send_once(const std::string& path = "/once")
    {
        tickets::ticket fields;
        fields.id = tickets::random_ticket_id();
        fields.owner = identity.host;
        fields.owner_incarnation = incarnation;
        fields.epoch = m_tickets.epoch();
        http::client_request request = get(m_server.bound_address(), path);
        request.head.method = "POST";
        request.head.headers = {
            {"snipeshore-ticket", base::value_of(tickets::mint(fields, m_secret))}};
        return send(request);
    }

    std::string read_all_from(int connection)
    {
        return run_in_thread(m_loop, [&] { return read_all(connection); });
    }

    command_result run(const std::string& command)
    {
        return run_command(m_loop, command);
    }

    std::string address() const
    {
        return m_server.bound_address();
    }

    reply send_safe(const std::string& path = "/safe", const http::header_list& headers = {})
    {
        http::client_request request = get(m_server.bound_address(), path);
        request.head.headers = headers;
        return send(request);
    }

    /// Waits until no request is in progress.
    void await_end()
    {
        REQUIRE(run_until(m_loop, [&] { return m_services.tasks.empty(); }));
    }

    void await_request(const late_target& target)
    {
        REQUIRE(run_until(m_loop, [&] { return target.late_requests > 0; }));
    }

    const balancing::target_state& target_state() const
    {
        return m_services.pools.begin()->second.balancer.targets.front();
    }

private:
    reply send(const http::client_request& request)
    {
        std::optional<reply> got;
        const auto call = m_caller.fetch(
            request, 1U << 20U,
            [&](const base::result<std::pair<http::response_head, std::string>>& outcome, bool) {
                got = reply{};
                if (base::is_ok(outcome)) {
                    const auto& [head, body] = base::value_of(outcome);
                    got = reply{head.status, head.headers, body};
                }
            });
        REQUIRE(run_until(m_loop, [&] { return got.has_value(); }));
        return *got;
    }

    http::loop m_loop;
    http::client m_client{m_loop, {}};
    http::client m_caller{m_loop, {}};
    inner::node m_node{{}};
    telemetry::metrics m_metrics;
    apps::fleet_state m_fleet;
    tickets::fleet_secret m_secret = tickets::derive_fleet_secret(identity.fleet_secret);
    apps::share_manager m_shares{m_loop, m_node, identity.host, incarnation};
    apps::ticket_service m_tickets{m_node, m_fleet, identity.host, incarnation, m_secret};
    apps::crash_monitor m_crashes{m_loop, m_client, m_node, m_fleet, identity.host};
    apps::entry_services m_services{identity, m_loop,   m_client,  m_metrics,
                                    m_fleet,  m_shares, m_tickets, m_crashes};
    http::server m_server;
};

/// The line of a request head with this header, which a target that echoes it sends back.
std::string echoed_line(const std::string& request, const std::string& name)
{
    const std::size_t start = request.find(name + ": ");
    return start == std::string::npos
               ? std::string()
               : request.substr(start, request.find("\r\n", start) + 2 - start);
}

std::string response(const std::string& status, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + status + "\r\n" + headers +
           "content-length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

// Guards against a late copy of an earlier response that a caller gets as its own: with a refusal
// it was told that a request was not run that was running.
TEST_CASE("a copy of an earlier response of a target that echoes ids answers no later request")
{
    std::string status = "200 OK";
    bool has_id = false;
    const auto check = [&] {
        std::atomic<int> runs{0};
        parallel_raw_server target([&](int connection) {
            const std::string id =
                echoed_line(read_until(connection, "\r\n\r\n"), "snipeshore-attempt-id");
            write_all(connection, response("200 OK", id, "own"));
            ++runs;
            while (!read_until(connection, "\r\n\r\n").empty()) {
                ++runs;
                write_all(connection,
                          response(status, (has_id ? id : "") + "retry-after: 1\r\n", "copy"));
            }
        });
        entry_fixture entry(target.address());
        SUBCASE("a non-idempotent request has no known outcome")
        {
            REQUIRE(entry.send_safe().body == "own");
            const reply later = entry.send_once();
            CHECK(later.status == 502);
            CHECK(later.header("snipeshore-error") == "outcome_unknown");
            CHECK(later.header("snipeshore-not-run").empty());
        }
        SUBCASE("an idempotent request fails")
        {
            REQUIRE(entry.send_safe().body == "own");
            CHECK(entry.send_safe().status == 502);
        }
        CHECK(runs == 2);
    };
    SUBCASE("of a success")
    {
        has_id = true;
        check();
    }
    SUBCASE("of a success without the id")
    {
        check();
    }
    SUBCASE("of a refusal")
    {
        status = "503 Full";
        has_id = true;
        check();
    }
    SUBCASE("of a refusal without the id")
    {
        status = "503 Full";
        check();
    }
}

// Guards against the same with targets that do not echo ids, and against such targets no longer
// being usable.
TEST_CASE(
    "non-idempotent requests to a target that does not echo ids have connections of their own")
{
    parallel_raw_server target([](int connection) {
        bool is_first = true;
        for (std::string request = read_until(connection, "\r\n\r\n"); !request.empty();
             request = read_until(connection, "\r\n\r\n")) {
            const bool is_copy = !is_first && request.starts_with("POST");
            write_all(connection, is_copy ? response("503 Full", "retry-after: 1\r\n", "copy")
                                          : response("200 OK", "", "own"));
            is_first = false;
        }
    });
    entry_fixture entry(target.address());
    CHECK(entry.send_safe().body == "own");
    CHECK(entry.send_safe().body == "own");
    CHECK(target.accepted() == 1);
    CHECK(entry.send_once().body == "own");
    CHECK(entry.send_once().body == "own");
    CHECK(entry.send_safe().body == "own");
    CHECK(target.accepted() == 3);
}

// Guards against requests to a target that has asked for a rest.
TEST_CASE("a target that asks for a rest gets no further requests")
{
    std::atomic<int> requests{0};
    parallel_raw_server target([&](int connection) {
        for (std::string request = read_until(connection, "\r\n\r\n"); !request.empty();
             request = read_until(connection, "\r\n\r\n")) {
            ++requests;
            write_all(connection, response("503 Full",
                                           echoed_line(request, "snipeshore-attempt-id") +
                                               "retry-after: 60\r\n",
                                           "shed"));
        }
    });
    entry_fixture entry(target.address());
    CHECK(entry.send_safe().body == "shed");
    for (int i = 0; i < 10; ++i) {
        const reply later = entry.send_safe();
        CHECK(later.status == 503);
        CHECK(later.header("snipeshore-error") == "no_target");
    }
    CHECK(requests == 1);
}

// Guards against a target that stays unusable after a change to a version that does not echo ids.
TEST_CASE("a target that no longer echoes ids fails one request")
{
    std::atomic<bool> echoes{true};
    parallel_raw_server target([&](int connection) {
        for (std::string request = read_until(connection, "\r\n\r\n"); !request.empty();
             request = read_until(connection, "\r\n\r\n")) {
            write_all(connection,
                      response("200 OK",
                               echoes ? echoed_line(request, "snipeshore-attempt-id") : "", "own"));
        }
    });
    entry_fixture entry(target.address());
    REQUIRE(entry.send_safe().status == 200);
    REQUIRE(entry.send_once().status == 200);
    CHECK(target.accepted() == 1);
    echoes = false;
    CHECK(entry.send_once().status == 502);
    CHECK(entry.send_once().status == 200);
    CHECK(entry.send_safe().status == 200);
    echoes = true;
    CHECK(entry.send_once().status == 200);
    CHECK(entry.send_once().status == 200);
}

// Guards against a response whose head was cut off and that callers get as complete, with an empty
// or short body, or as a statement that the request was not run.
TEST_CASE("a response that a target cuts off at any byte is an error for the caller")
{
    const std::string status = "HTTP/1.1 200 OK\r\nconnection: close\r\n";
    std::string head;
    std::string body = "whole answer";
    SUBCASE("with a length")
    {
        head = status + "content-length: 12\r\n\r\n";
    }
    SUBCASE("in chunks")
    {
        head = status + "transfer-encoding: chunked\r\n\r\n";
        body = "c\r\nwhole answer\r\n0\r\n\r\n";
    }
    SUBCASE("after an interim response")
    {
        head = "HTTP/1.1 100 Continue\r\n\r\n" + status + "content-length: 12\r\n\r\n";
    }
    const std::string whole = head + body;
    for (const connection_end how : {connection_end::close, connection_end::reset}) {
        raw_server target([&](int connection) {
            const std::string request = read_until(connection, "\r\n\r\n");
            const std::size_t at = request.find("/cut/");
            if (at == std::string::npos) {
                write_all(connection, whole);
                return;
            }
            write_and_end(connection, whole.substr(0, std::stoul(request.substr(at + 5))), how);
        });
        entry_fixture entry(target.address());
        for (std::size_t size = 0; size < whole.size(); ++size) {
            const std::string cut = "/cut/" + std::to_string(size);
            CAPTURE(whole.substr(0, size));
            const reply once = entry.send_once("/once" + cut);
            CHECK((once.status == 502 || (once.status == 0 && size >= head.size()) ||
                   once.body == "whole answer"));
            CHECK(once.header("snipeshore-not-run").empty());
            CHECK(entry.send_once().body == "whole answer");
            const reply safe = entry.send_safe("/safe" + cut);
            CHECK((safe.status == 502 || (safe.status == 0 && size >= head.size()) ||
                   safe.body == "whole answer"));
            CHECK(entry.send_safe().body == "whole answer");
        }
    }
}

// Guards against targets that are avoided because their callers read slowly, and against silent or
// slow targets that count as good ones.
TEST_CASE("the cause of a response that is incomplete at its deadline decides about its target")
{
    const http::header_list one_second{{"snipeshore-deadline-ms", "1000"}};
    SUBCASE("a silent target has failed")
    {
        late_target target({with_length + "whole "});
        entry_fixture entry(target.address());
        CHECK(entry.send_safe("/safe/x", one_second).status == 0);
        CHECK(entry.target_state().failures_in_row == 1);
    }
    SUBCASE("a slow target has been slow")
    {
        late_target target(drip);
        entry_fixture entry(target.address());
        CHECK(entry.send_safe("/safe/x", one_second).status == 0);
        CHECK(entry.target_state().failures_in_row == 0);
        CHECK(entry.target_state().latency_ms > 0);
    }
    SUBCASE("that of a slow caller is neither")
    {
        late_target target(flood);
        entry_fixture entry(target.address());
        const int caller = connect_to(entry.address(), 4096);
        write_all(caller, "GET /safe/x HTTP/1.1\r\nhost: test\r\n"
                          "snipeshore-deadline-ms: 1000\r\n\r\n");
        entry.await_request(target);
        entry.await_end();
        CHECK(entry.target_state().failures_in_row == 0);
        CHECK(entry.target_state().latency_ms == 0);
        close(caller);
    }
}

// Guards against callers that get no answer because they stopped within a body.
TEST_CASE("a request whose body is not complete at its deadline is refused")
{
    late_target target({with_length});
    entry_fixture entry(target.address());
    std::string ticket;
    SUBCASE("and has not run") {}
    SUBCASE("and says nothing of other requests with its ticket")
    {
        ticket = "snipeshore-ticket: x\r\n";
    }
    const int caller = connect_to(entry.address());
    write_all(caller, "POST /once/x HTTP/1.1\r\nhost: test\r\nsnipeshore-deadline-ms: 300\r\n" +
                          ticket + "content-length: 4\r\n\r\nbo");
    const std::string got = entry.read_all_from(caller);
    CHECK(got.starts_with("HTTP/1.1 408"));
    CHECK((got.find("snipeshore-not-run: 1") != std::string::npos) == ticket.empty());
    CHECK(target.late_requests == 0);
    close(caller);
}

// Guards against late responses that look complete, and against callers that are held by them, over
// the other transports.
TEST_CASE("a response that is incomplete at its deadline ends visibly over TLS")
{
    const test_certificate files;
    late_target target({with_chunks + "6\r\nwhole \r\n"});
    entry_fixture entry(target.address(), &files);
    std::string version;
    int expected_code = 0;
    SUBCASE("with HTTP/1.1")
    {
        constexpr int curl_partial_file = 18;
        version = "--http1.1";
        expected_code = curl_partial_file;
    }
    SUBCASE("with HTTP/2")
    {
        constexpr int curl_http2_stream = 92;
        version = "--http2";
        expected_code = curl_http2_stream;
    }
    const command_result seen =
        entry.run("curl -sS --max-time 25 --cacert " + files.certificate() + " " + version +
                  " -H 'host: test' -H 'snipeshore-deadline-ms: 1000' https://" + entry.address() +
                  "/safe/x");
    CHECK(seen.code == expected_code);
    CHECK(seen.output.find("whole ") != std::string::npos);
    CHECK(entry.target_state().failures_in_row == 1);
}

// Guards against work for callers that have left, as `host_late_request_test` does: the loop finds
// the request and the close at once.
TEST_CASE("a request whose caller has left by the time it is read is sent to no target")
{
    constexpr int callers = 20;
    std::atomic<int> late_requests{0};
    parallel_raw_server target([&](int connection) {
        std::string request;
        while (!(request = read_until(connection, "\r\n\r\n")).empty()) {
            late_requests += request.find("/safe/late") == std::string::npos ? 0 : 1;
            write_all(connection, "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nown");
        }
    });
    entry_fixture entry(target.address());
    for (int i = 0; i < callers; ++i) {
        const int connection = connect_to(entry.address());
        write_all(connection, "GET /safe/late HTTP/1.1\r\nhost: test\r\n\r\n");
        close(connection);
    }
    CHECK(entry.send_safe().status == 200);
    CHECK(entry.send_safe().status == 200);
    CHECK(late_requests == 0);
}
