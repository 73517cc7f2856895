#include "http/tests/test_support.h"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <vector>

namespace snipeshore::http::tests {

namespace {

struct response_case {
    std::string head;
    std::string body;
    std::string method = "GET";
    bool ends_with_connection = false; ///< The body has no length.
};

const std::vector<response_case> cases = {
    {"HTTP/1.1 200 OK\r\nServer: a\r\nContent-Length: 12\r\nX-Seal: s\r\n\r\n", "whole answer"},
    {"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n", "whole answer", "POST"},
    {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ""},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "c\r\nwhole answer\r\n0\r\n\r\n"},
    {"HTTP/1.1 200 OK\r\nX-Seal: s\r\n\r\n", "whole answer", "GET", true},
    {"HTTP/1.1 200 OK\r\nContent-Length: 1234\r\nX-Seal: s\r\n\r\n", "", "HEAD"},
    {"HTTP/1.1 204 None\r\nX-Seal: s\r\n\r\n", "", "POST"},
    {"HTTP/1.1 100 Continue\r\nA: b\r\n\r\nHTTP/1.1 103 Early\r\n\r\n"
     "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n",
     "whole answer"},
    {"HTTP/1.1 200 OK\nContent-Length: 12\nX-Seal: s\n\n", "whole answer"},
    {"HTTP/1.0 200 OK\r\nX-Seal: s\r\n\r\n", "whole answer", "GET", true},
};

std::string body_of(const response_case& from)
{
    return from.body.empty() ? "" : "whole answer";
}

} // namespace

// Guards against a response whose head was cut off and that callers get as complete, with an empty
// or short body.
TEST_CASE("a response that is cut off at any byte is never complete")
{
    connection_end how = connection_end::close;
    SUBCASE("the connection is closed") {}
    SUBCASE("the last bytes arrive together with the close")
    {
        how = connection_end::close_with_last_bytes;
    }
    SUBCASE("the connection is reset")
    {
        how = connection_end::reset;
    }
    client_settings settings;
    settings.accepts_close_delimited = true;
    loop event_loop;
    std::string next;
    raw_server peer([&](int descriptor) {
        read_until(descriptor, "\r\n\r\n");
        write_and_end(descriptor, next, how);
    });
    client http_client(event_loop, settings);
    for (const response_case& one : cases) {
        const std::string whole = one.head + one.body;
        for (std::size_t size = 0; size <= whole.size(); ++size) {
            next = whole.substr(0, size);
            CAPTURE(next);
            client_request request = get(peer.address(), "/");
            request.head.method = one.method;
            call_record seen;
            const auto call = record(http_client, request, seen);
            REQUIRE(run_until(event_loop, [&] { return seen.end.has_value(); }));
            CHECK(seen.end->request_sent);
            if (size < one.head.size()) {
                CHECK_FALSE(base::is_ok(seen.end->outcome));
                CHECK_FALSE(seen.head.has_value());
            } else if (one.ends_with_connection) {
                CHECK(base::is_ok(seen.end->outcome) == (how != connection_end::reset));
            } else if (base::is_ok(seen.end->outcome)) {
                CHECK(seen.body == body_of(one));
            }
            if (size == whole.size() && how != connection_end::reset) {
                CHECK(base::is_ok(seen.end->outcome));
            }
        }
    }
}

} // namespace snipeshore::http::tests
