#include "apps/host/tests/host_fixture.h"

#include <doctest/doctest.h>

#include <unistd.h>

#include <atomic>
#include <string>
#include <thread>

using namespace snipeshore;
using namespace snipeshore::apps::tests;
using namespace snipeshore::http::tests;

namespace {

const http::header_list with_key{{"x-key", "key"}, {"x-attempt-id", "id-1"}};
const std::string status_and_id =
    "HTTP/1.1 200 OK\r\nconnection: close\r\nx-attempt-id: id-1\r\nx-response-seal: s\r\n";
const std::string answer = "whole answer";

struct target_response {
    std::string head = status_and_id + "content-length: 12\r\n\r\n";
    std::string body = answer;
};

/// Successes that follow each failure, so that the target is not ejected.
constexpr int successes_per_failure = 6;

void expect_successes(host_fixture& host)
{
    for (int i = 0; i < successes_per_failure; ++i) {
        const reply got = host.send("/once/ok", with_key, "POST");
        CHECK(got.status == 200);
        CHECK(got.body == answer);
    }
}

/// Sends the whole response, or as many bytes as the path of the request says ("/cut/12").
void respond(int connection, const target_response& whole, connection_end how)
{
    const std::string request = read_until(connection, "\r\n\r\n");
    const std::size_t at = request.find("/cut/");
    const std::string text = whole.head + whole.body;
    if (at == std::string::npos) {
        write_all(connection, request.starts_with("HEAD") ? whole.head : text);
        return;
    }
    write_and_end(connection, text.substr(0, std::stoul(request.substr(at + 5))), how);
}

} // namespace

// Guards against a response whose head was cut off and that callers get as complete, with an empty
// or short body, or as a statement that the request was not run.
TEST_CASE("a response that a target cuts off at any byte of its head is an error for the caller")
{
    target_response whole;
    SUBCASE("with a length") {}
    SUBCASE("in chunks")
    {
        whole.head = status_and_id + "transfer-encoding: chunked\r\n\r\n";
        whole.body = "c\r\nwhole answer\r\n0\r\n\r\n";
    }
    SUBCASE("that ends with the connection")
    {
        whole.head = status_and_id + "\r\n";
    }
    SUBCASE("after an interim response")
    {
        whole.head = "HTTP/1.1 100 Continue\r\n\r\n" + whole.head;
    }
    for (const connection_end how :
         {connection_end::close_with_last_bytes, connection_end::reset}) {
        host_fixture host(plain_config);
        raw_server target([&](int connection) { respond(connection, whole, how); });
        host.add_target("t1", target.address());
        host.await_targets(1);
        for (std::size_t size = 0; size < whole.head.size(); ++size) {
            const std::string cut = "/cut/" + std::to_string(size);
            CAPTURE(whole.head.substr(0, size));
            for (const std::string method : {"GET", "HEAD"}) {
                CHECK(host.send("/safe" + cut, with_key, method).status == 502);
                expect_successes(host);
            }
            for (const std::string method : {"POST", "HEAD"}) {
                const reply got = host.send("/once" + cut, with_key, method);
                CHECK(got.status == 502);
                CHECK(got.body.find("\"not_run\":true") == std::string::npos);
                expect_successes(host);
            }
        }
    }
}

// Guards against a cut response that ends the requests behind it, or whose bytes are taken for
// theirs.
TEST_CASE("a cut response leaves the other pipelined requests alone")
{
    const target_response whole;
    host_fixture host(plain_config);
    raw_server target(
        [&](int connection) { respond(connection, whole, connection_end::close_with_last_bytes); });
    host.add_target("t1", target.address());
    host.await_targets(1);
    const auto request = [](const std::string& path, const std::string& more) {
        return "GET " + path +
               " HTTP/1.1\r\nhost: a.example\r\nx-key: key\r\nx-attempt-id: id-1\r\n" + more +
               "\r\n";
    };
    const std::size_t whole_size = whole.head.size() + whole.body.size();
    for (std::size_t size = 0; size < whole_size; ++size) {
        CAPTURE(size);
        std::string received;
        std::atomic<bool> is_done{false};
        std::thread caller([&] {
            const int descriptor = connect_to(host.settings.entry_address);
            write_all(descriptor, request("/safe/ok", "") +
                                      request("/safe/cut/" + std::to_string(size), "") +
                                      request("/safe/ok", "connection: close\r\n"));
            received = read_all(descriptor);
            close(descriptor);
            is_done = true;
        });
        const bool has_ended = host.run_until([&] { return is_done.load(); });
        caller.join();
        REQUIRE(has_ended);
        const std::size_t second = received.find("HTTP/1.1 502");
        const std::size_t third = received.find("HTTP/1.1 200", second);
        CHECK(received.starts_with("HTTP/1.1 200"));
        REQUIRE(third != std::string::npos);
        CHECK(received.substr(0, second).ends_with("\r\n\r\n" + answer));
        CHECK(received.substr(second, third - second).find(answer) == std::string::npos);
        CHECK(received.ends_with("\r\n\r\n" + answer));
        expect_successes(host);
    }
}
