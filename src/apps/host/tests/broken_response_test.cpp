#include "apps/host/tests/host_fixture.h"

#include <doctest/doctest.h>

#include <sys/socket.h>

#include <atomic>
#include <string>
#include <thread>

using namespace snipeshore;
using namespace snipeshore::apps::tests;
using namespace snipeshore::http::tests;

namespace {

const http::header_list with_key{{"x-key", "key"}, {"x-attempt-id", "id-1"}};
const std::string head_without_length =
    "HTTP/1.1 200 OK\r\nx-attempt-id: id-1\r\nx-response-seal: s\r\n\r\n";

/// More than the kernel accepts for a target that does not read.
constexpr std::size_t upload_bytes = 1U << 20U;

http::client_request upload_to(const std::string& address, const std::string& path)
{
    http::client_request request = get(address, path);
    request.head.method = "POST";
    request.head.authority = "a.example";
    request.head.headers = with_key;
    request.body.assign(upload_bytes, 'u');
    return request;
}

/// Answers a request before it has read its body, and stops sending.
void answer_early(int connection)
{
    read_until(connection, "\r\n\r\n");
    write_all(connection, head_without_length + "whole answer");
    shutdown(connection, SHUT_WR);
}

} // namespace

// Guards against a part of a response that callers get as complete: the target sent it without a
// length and reset the connection while the request was still being written to it.
TEST_CASE("a response without a length that a target breaks off is not complete for the caller")
{
    bool is_reset = false;
    SUBCASE("the target resets the connection after closing its end")
    {
        is_reset = true;
    }
    SUBCASE("the target reads the rest of the request") {}
    // The last two were passed on by another host.
    for (const std::string path : {"/once/upload", "/safe/upload", "/open/upload",
                                   "/fleet/relay/once/upload", "/fleet/relay/safe/upload"}) {
        CAPTURE(path);
        std::atomic<bool> is_passed_on{false};
        raw_server target([&](int connection) {
            answer_early(connection);
            while (!is_passed_on) {
                std::this_thread::yield();
            }
            if (is_reset) {
                write_and_end(connection, "", connection_end::reset);
            } else {
                read_all(connection);
            }
        });
        host_fixture host(plain_config);
        host.add_target("t1", target.address());
        host.await_targets(1);
        http::client caller(host.loop, {});
        call_record seen;
        const std::string& address = path.starts_with("/fleet/") ? host.settings.control_address
                                                                 : host.settings.entry_address;
        const auto call = record(caller, upload_to(address, path), seen);
        REQUIRE(host.run_until([&] { return seen.body == "whole answer"; }));
        is_passed_on = true;
        REQUIRE(host.run_until([&] { return seen.end.has_value(); }));
        CHECK(base::is_ok(seen.end->outcome) == !is_reset);
    }
}

// Guards against a response that callers get without one of its header lines, or with a status or a
// line that is none.
TEST_CASE("a response with an invalid head is a failure for the caller")
{
    std::string next;
    raw_server target([&](int connection) {
        read_until(connection, "\r\n\r\n");
        write_all(connection, next);
    });
    for (const std::string invalid_start : {
             "HTTP/1.1 000 OK\r\n",
             "HTTP/1.1 600 OK\r\n",
             "HTTP/1.1 200 OK\r\nx note: a\r\n",
             "HTTP/1.1 200 OK\r\nx-\x01note: a\r\n",
             "HTTP/1.1 200 OK\r\nx-note: a\r\n x-folded: b\r\n",
         }) {
        CAPTURE(invalid_start);
        next = invalid_start + "connection: close\r\nx-attempt-id: id-1\r\nx-response-seal: s\r\n" +
               "content-length: 12\r\n\r\nwhole answer";
        for (const std::string path : {"/once/a", "/safe/a"}) {
            for (const std::string method : {"GET", "HEAD", "POST"}) {
                host_fixture host(plain_config);
                host.add_target("t1", target.address());
                host.await_targets(1);
                const reply got = host.send(path, with_key, method);
                CHECK(got.status == 502);
                CHECK_FALSE(http::find_header(got.headers, "x-response-seal").has_value());
                CHECK(got.body.find("whole answer") == std::string::npos);
                CHECK(got.body.find("\"not_run\":true") == std::string::npos);
            }
        }
    }
}
