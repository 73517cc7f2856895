#include "http/tests/test_support.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace snipeshore::http::tests {

namespace {

using namespace std::string_literals;

const std::string valid_status_line = "HTTP/1.1 200 OK\r\n";

/// Responses whose status is not one of HTTP's, which are 100 to 599 (RFC 9110, 15).
const std::vector<std::string> invalid_statuses = {"000",  "0",   "099",  "20",  "0200",
                                                   "1000", "-20", "2OO",  "101", "600",
                                                   "999",  "",    "200a", "+20", " 200"};

/// Header lines that are none: the name is not a token, or the value has control bytes.
const std::vector<std::string> invalid_lines = {
    "X Note: a",    "X\tNote: a",   "X-Note : a",   "X-Note\t: a",          "X-\x01Note: a",
    "X\x7f: a",     "X\0Note: a"s,  "X\rNote: a",   "\"X-Note\": a",        ": a",
    "no colon",     " X-Note: a",   "\tX-Note: a",  " second line",         "X-Note: a\x01",
    "X-Note: a\0"s, "X-Note: \x7f", "X-Note: a\rb", "X-Note: a\r\n folded", "X-Note: a\n\tfolded"};

/// Sends requests to a peer that answers each with the given bytes.
class answered_client {
public:
    explicit answered_client(bool accepts_close_delimited)
        : m_peer([this](int descriptor) {
              read_until(descriptor, "\r\n\r\n");
              write_all(descriptor, m_response);
          }),
          m_client(m_loop, make_settings(accepts_close_delimited))
    {}

    call_end send(const std::string& method, const std::string& response)
    {
        m_response = response;
        client_request request = get(m_peer.address(), "/");
        request.head.method = method;
        request.needs_new_connection = true;
        call_record seen;
        const auto call = record(m_client, request, seen);
        REQUIRE(run_until(m_loop, [&] { return seen.end.has_value(); }));
        CHECK(base::is_ok(seen.end->outcome) == seen.head.has_value());
        return *seen.end;
    }

private:
    static client_settings make_settings(bool accepts_close_delimited)
    {
        client_settings settings;
        settings.accepts_close_delimited = accepts_close_delimited;
        return settings;
    }

    std::string m_response; ///< Written before the request that asks for it is sent.
    loop m_loop;
    raw_server m_peer;
    client m_client;
};

const std::string body = "content-length: 5\r\n\r\n12345";

void expect_invalid(const std::vector<std::string>& heads)
{
    for (const bool accepts_close_delimited : {false, true}) {
        answered_client caller(accepts_close_delimited);
        for (const std::string& head : heads) {
            CAPTURE(head);
            for (const std::string method : {"GET", "HEAD", "POST"}) {
                const call_end end = caller.send(method, head + body);
                REQUIRE_FALSE(base::is_ok(end.outcome));
                CHECK(base::error_of(end.outcome).kind == base::error_kind::answer_invalid);
                CHECK(end.request_sent);
            }
        }
    }
}

} // namespace

// Guards against bytes that callers get as a response though a target in trouble sent no valid one.
TEST_CASE("a response with an invalid head is an error")
{
    std::vector<std::string> heads;
    SUBCASE("the status is not one of HTTP's")
    {
        for (const std::string& status : invalid_statuses) {
            heads.push_back("HTTP/1.1 " + status + " OK\r\n");
            heads.push_back("HTTP/1.1 100 Continue\r\n\r\n" + heads.back());
        }
    }
    SUBCASE("a header line is not valid")
    {
        for (const std::string& line : invalid_lines) {
            heads.push_back(valid_status_line + line + "\r\n");
            heads.push_back(valid_status_line + "x-first: a\r\n" + line + "\r\n");
        }
    }
    SUBCASE("a header line of an interim response is not valid")
    {
        for (const std::string& line : invalid_lines) {
            heads.push_back("HTTP/1.1 103 Early Hints\r\nx-first: a\r\n" + line + "\r\n\r\n" +
                            valid_status_line);
        }
    }
    expect_invalid(heads);
}

// Guards against checks that reject responses of sound targets.
TEST_CASE("a response with an unusual but valid head is passed on")
{
    answered_client caller(false);
    for (const std::string line :
         {"x-empty:", "x-spaced: \t a b\tc \t", "x-bytes: \xc3\xa9\xff", "!#$%&'*+-.^_`|~1aZ: a"}) {
        CAPTURE(line);
        const call_end end = caller.send("GET", valid_status_line + line + "\r\n" + body);
        CHECK(base::is_ok(end.outcome));
    }
    for (const std::string status : {"200", "299", "404", "500", "599"}) {
        CAPTURE(status);
        const call_end end = caller.send("GET", "HTTP/1.1 " + status + " \r\n" + body);
        CHECK(base::is_ok(end.outcome));
    }
}

} // namespace snipeshore::http::tests
