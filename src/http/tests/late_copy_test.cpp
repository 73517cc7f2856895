#include "http/tests/test_support.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>

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

} // namespace snipeshore::http::tests
