#include "http/tests/test_support.h"

#include <doctest/doctest.h>

#include <sys/socket.h>

#include <optional>
#include <string>

using namespace snipeshore;
using namespace snipeshore::http;
using namespace snipeshore::http::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t max_growth_kib = 8 << 10;

/// Sends the text until the peer closes the connection.
void send_endlessly(int descriptor, const std::string& text)
{
    std::string block;
    while (block.size() < 16U << 10U) {
        block += text;
    }
    while (send(descriptor, block.data(), block.size(), MSG_NOSIGNAL) > 0) {
    }
}

} // namespace

// Guards against a target in trouble whose bytes never end: they must not fill the memory, keep the
// connection open or look like a complete response.
TEST_CASE("a response without an end is cut, in bounded memory")
{
    std::string start = "HTTP/1.1 200 OK\r\n";
    std::string repeated;
    bool has_head = false;
    SUBCASE("header lines")
    {
        repeated = "x-more: bytes\r\n";
    }
    SUBCASE("one header line")
    {
        start += "x-long: ";
        repeated = "aaaaaaaa";
    }
    SUBCASE("interim responses")
    {
        start.clear();
        repeated = "HTTP/1.1 100 Continue\r\n\r\n";
    }
    SUBCASE("a status line")
    {
        start = "HTTP/1.1 200 ";
        repeated = "OKOKOKOK";
    }
    SUBCASE("no response at all")
    {
        start.clear();
        repeated = "garbage ";
    }
    SUBCASE("chunk extensions")
    {
        start += "transfer-encoding: chunked\r\n\r\n4;";
        repeated = "extension=value;";
        has_head = true;
    }
    SUBCASE("chunks")
    {
        start += "transfer-encoding: chunked\r\n\r\n";
        repeated = "4\r\nbody\r\n";
        has_head = true;
    }
    SUBCASE("trailers")
    {
        start += "transfer-encoding: chunked\r\n\r\n0\r\n";
        repeated = "x-trailer: value\r\n";
        has_head = true;
    }
    SUBCASE("a body until the connection closes")
    {
        start += "\r\n";
        repeated = "bytesbytes";
        has_head = true;
    }
    raw_server endless([&](int descriptor) {
        read_until(descriptor, "\r\n\r\n");
        write_all(descriptor, start);
        send_endlessly(descriptor, repeated);
    });
    raw_server healthy([](int descriptor) {
        read_until(descriptor, "\r\n\r\n");
        write_all(descriptor, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
    });
    loop event_loop;
    client_settings settings;
    settings.accepts_close_delimited = true;
    client http_client(event_loop, settings);
    const std::int64_t before = resident_kib();
    call_record recorded;
    client_request request = get(endless.address(), "/");
    request.deadline = from_now(700ms);
    const auto call = record(http_client, std::move(request), recorded);
    call_record other;
    const auto other_call = record(http_client, get(healthy.address(), "/"), other);
    REQUIRE(run_until(event_loop, [&] { return other.end.has_value(); }));
    CHECK(other.body == "ok");
    REQUIRE(run_until(event_loop, [&] { return recorded.end.has_value(); }));
    CHECK_FALSE(base::is_ok(recorded.end->outcome));
    CHECK(recorded.end->request_sent);
    CHECK(recorded.head.has_value() == has_head);
    REQUIRE(run_until(event_loop, [&] { return endless.closed() == 1; }));
    if (measures_memory) {
        CHECK(resident_kib() - before < max_growth_kib);
    }
}
