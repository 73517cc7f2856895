#include "http/tests/test_support.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

namespace snipeshore::http::tests {

namespace {

const std::string own_response = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nown";

} // namespace

// Guards against a refusal that is taken for the response to a later request, which then counts as
// not run although the peer runs it.
TEST_CASE("a late copy of a refusal never answers a later request")
{
    std::string refusal;
    std::string method = "POST";
    SUBCASE("503 without a body")
    {
        refusal = "HTTP/1.1 503 Full\r\ncontent-length: 0\r\n\r\n";
    }
    SUBCASE("429 with a body")
    {
        refusal = "HTTP/1.1 429 Later\r\ncontent-length: 4\r\n\r\nbusy";
    }
    SUBCASE("421 with a chunked body")
    {
        refusal = "HTTP/1.1 421 Other\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n";
    }
    SUBCASE("408 after an interim response")
    {
        refusal = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 408 Late\r\ncontent-length: 0\r\n\r\n";
    }
    SUBCASE("503 to a HEAD request")
    {
        method = "HEAD";
        refusal = "HTTP/1.1 503 Full\r\ncontent-length: 4\r\n\r\n";
    }
    loop event_loop;
    int connections = 0;
    raw_server peer([&](int descriptor) {
        read_until(descriptor, "\r\n\r\n");
        write_all(descriptor, connections++ == 0 ? refusal : own_response);
        if (!read_until(descriptor, "\r\n\r\n").empty()) {
            write_all(descriptor, refusal);
        }
    });
    client http_client(event_loop, {});
    client_request request = get(peer.address(), "/");
    request.head.method = method;
    call_record first;
    const auto first_call = record(http_client, request, first);
    REQUIRE(run_until(event_loop, [&] { return first.end.has_value(); }));
    REQUIRE(base::is_ok(first.end->outcome));
    CHECK(first.head->status != 200);
    call_record second;
    const auto second_call = record(http_client, get(peer.address(), "/"), second);
    REQUIRE(run_until(event_loop, [&] { return second.end.has_value(); }));
    CHECK(second.head->status == 200);
    CHECK(second.body == "own");
}

// Guards against a connection that is out of step: a call that was cancelled because its response
// belongs to another request left the connection to the next request.
TEST_CASE("a call that is cancelled at the head of a response closes its connection")
{
    std::string response;
    std::string method = "GET";
    SUBCASE("204")
    {
        response = "HTTP/1.1 204 None\r\n\r\n";
    }
    SUBCASE("to a HEAD request")
    {
        method = "HEAD";
        response = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n";
    }
    SUBCASE("with an empty body")
    {
        response = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    }
    SUBCASE("with a body")
    {
        response = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody";
    }
    loop event_loop;
    raw_server peer([&](int descriptor) {
        read_until(descriptor, "\r\n\r\n");
        write_all(descriptor, response);
        read_all(descriptor);
    });
    client http_client(event_loop, {});
    client_request request = get(peer.address(), "/");
    request.head.method = method;
    std::unique_ptr<client_call> call;
    bool was_cancelled = false;
    call_callbacks callbacks;
    callbacks.on_head = [&](const response_head&) {
        call.reset();
        was_cancelled = true;
    };
    call = http_client.send(request, std::move(callbacks));
    REQUIRE(run_until(event_loop, [&] { return was_cancelled; }));
    call_record next;
    const auto next_call = record(http_client, get(peer.address(), "/"), next);
    REQUIRE(run_until(event_loop, [&] { return peer.accepted() == 2; }));
}

// Guards against a connection on which the response to an earlier request may still arrive.
TEST_CASE("a call that needs a new connection neither takes one from the pool nor leaves one there")
{
    loop event_loop;
    std::vector<std::size_t> connections;
    server http_server(event_loop, [&](const std::shared_ptr<exchange>& from) {
        connections.push_back(http_server.open_connections());
        from->respond({}, "x");
    });
    server_settings settings;
    settings.address = "127.0.0.1:0";
    REQUIRE(base::is_ok(http_server.listen(settings)));
    client http_client(event_loop, {});
    const auto send = [&](bool needs_new_connection) {
        client_request request = get(http_server.bound_address(), "/");
        request.needs_new_connection = needs_new_connection;
        call_record seen;
        const auto call = record(http_client, request, seen);
        REQUIRE(run_until(event_loop, [&] { return seen.end.has_value(); }));
        CHECK(base::is_ok(seen.end->outcome));
    };
    send(false);
    for (int i = 0; i < 3; ++i) {
        send(true);
        CHECK(run_until(event_loop, [&] { return http_server.open_connections() == 1; }));
    }
    send(false);
    CHECK(connections == std::vector<std::size_t>{1, 2, 2, 2, 1});
}

// Guards against the use of a pool after its end: a call with its own connection outlives neither
// its client nor a peer that does not answer.
TEST_CASE("a call that needs a new connection can end at any time")
{
    loop event_loop;
    auto http_client = std::make_unique<client>(event_loop, client_settings{});
    client_request request;
    call_record seen;
    SUBCASE("the connection is refused")
    {
        std::string address;
        {
            const raw_server stopped([](int) {});
            address = stopped.address();
        }
        request = get(address, "/");
        request.needs_new_connection = true;
        const auto call = record(*http_client, request, seen);
        REQUIRE(run_until(event_loop, [&] { return seen.end.has_value(); }));
        CHECK_FALSE(seen.end->request_sent);
    }
    SUBCASE("the peer closes without a response")
    {
        raw_server peer([](int descriptor) { read_until(descriptor, "\r\n\r\n"); });
        request = get(peer.address(), "/");
        request.needs_new_connection = true;
        const auto call = record(*http_client, request, seen);
        REQUIRE(run_until(event_loop, [&] { return seen.end.has_value(); }));
        CHECK(seen.end->request_sent);
    }
    SUBCASE("the call is cancelled while it connects")
    {
        raw_server peer([](int descriptor) { read_all(descriptor); });
        request = get(peer.address(), "/");
        request.needs_new_connection = true;
        record(*http_client, request, seen).reset();
        CHECK(run_until(event_loop, [&] { return peer.closed() == 1; }));
        CHECK_FALSE(seen.end);
    }
    SUBCASE("the client is destroyed before the response")
    {
        raw_server peer([](int descriptor) { read_all(descriptor); });
        request = get(peer.address(), "/");
        request.needs_new_connection = true;
        const auto call = record(*http_client, request, seen);
        REQUIRE(run_until(event_loop, [&] { return peer.accepted() == 1; }));
        http_client.reset();
        CHECK(run_until(event_loop, [&] { return peer.closed() == 1; }));
    }
}

} // namespace snipeshore::http::tests
