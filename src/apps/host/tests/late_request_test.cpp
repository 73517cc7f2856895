#include "apps/host/tests/host_fixture.h"

#include <doctest/doctest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

using namespace snipeshore;
using namespace apps::tests;
using namespace std::chrono_literals;

namespace {

std::string make_request(const std::string& method, const std::string& path,
                         const std::string& time_left_ms)
{
    const std::string length = method == "POST" ? "content-length: 0\r\n" : "";
    return method + " " + path + " HTTP/1.1\r\nhost: a.example\r\nx-key: key\r\n" +
           "x-attempt-id: id-1\r\nx-deadline-ms: " + time_left_ms + "\r\n" + length + "\r\n";
}

std::string read_bytes(int connection)
{
    std::array<char, 4096> bytes{};
    const ssize_t count = recv(connection, bytes.data(), bytes.size(), MSG_DONTWAIT);
    return {bytes.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0))};
}

/// Opens a connection on which the host has answered one request already.
int connect_and_use(host_fixture& host)
{
    const int connection = http::tests::connect_to(host.settings.entry_address);
    http::tests::write_all(connection, make_request("GET", "/safe/first", "2000"));
    REQUIRE(host.run_until([&] { return http::tests::has_bytes(connection); }));
    http::tests::read_until(connection, "whole answer");
    return connection;
}

/// A host with one target, which records the time that it is given for each request.
class timed_fixture : public host_fixture {
public:
    timed_fixture() : host_fixture(plain_config)
    {
        add_target("t1", m_target.address());
        await_targets(1);
    }

    std::vector<int> times_left; ///< In milliseconds.

private:
    test_target m_target{loop, [this](const std::shared_ptr<http::exchange>& request) {
                             const auto left =
                                 http::find_header(request->head().headers, "x-deadline-ms");
                             times_left.push_back(std::stoi(std::string(left.value_or("-1"))));
                             respond_success(request);
                         }};
};

} // namespace

// Guards against work for callers that have left: a loop that was busy for a while finds a request
// and the close behind it at once, and sent the request on first. The loop runs only within
// `run_until` here, so it finds all that was written before as after a busy time.
TEST_CASE("a request whose caller has left by the time it is read is sent to no target")
{
    constexpr int callers = 20;
    host_fixture host(plain_config);
    int late_requests = 0;
    test_target target(host.loop, [&](const std::shared_ptr<http::exchange>& request) {
        late_requests += request->head().path.find("/late") == std::string::npos ? 0 : 1;
        respond_success(request);
    });
    host.add_target("t1", target.address());
    host.await_targets(1);
    const std::string idempotent = make_request("GET", "/safe/late", "2000");
    const std::string once = make_request("POST", "/once/late", "2000");
    const auto leave = [](int connection, const std::string& request) {
        http::tests::write_all(connection, request);
        close(connection);
    };
    // Its answers come after all that the callers above have caused.
    const auto run_others = [&host] {
        for (int i = 0; i < 2; ++i) {
            CHECK(host.send("/safe/next", {{"x-key", "key"}, {"x-attempt-id", "n"}}).status == 200);
        }
    };
    SUBCASE("on a kept connection")
    {
        std::vector<int> connections;
        for (int i = 0; i < 2 * callers; ++i) {
            connections.push_back(connect_and_use(host));
        }
        for (int i = 0; i < 2 * callers; ++i) {
            leave(connections[static_cast<std::size_t>(i)], i < callers ? idempotent : once);
        }
        run_others();
        CHECK(late_requests == 0);
    }
    SUBCASE("on a new connection")
    {
        for (int i = 0; i < 2 * callers; ++i) {
            leave(http::tests::connect_to(host.settings.entry_address),
                  i < callers ? idempotent : once);
        }
        run_others();
        CHECK(late_requests == 0);
    }
    SUBCASE("behind another one on its connection")
    {
        for (int i = 0; i < callers; ++i) {
            leave(connect_and_use(host), idempotent + idempotent);
        }
        run_others();
        CHECK(late_requests == 0);
    }
}

// Guards against targets that get more time than the caller still waits: a request that waited
// unread got its whole time again.
TEST_CASE("the time that a request waited unread is taken off its deadline")
{
    timed_fixture host;
    std::vector<int>& times_left = host.times_left;
    const int connection = connect_and_use(host);
    times_left.clear();
    const auto wait_unread = [](std::chrono::milliseconds time) {
        const base::time_point end = base::boot_clock::now() + time;
        while (base::boot_clock::now() < end) {
            usleep(1000);
        }
    };
    SUBCASE("a request whose deadline has passed is refused at once")
    {
        http::tests::write_all(connection, make_request("GET", "/safe/late", "200"));
        wait_unread(300ms);
        REQUIRE(host.run_until([&] { return http::tests::has_bytes(connection); }));
        const std::string got = read_bytes(connection);
        CHECK(got.find("HTTP/1.1 503") == 0);
        CHECK(got.find("\"not_run\":true") != std::string::npos);
        CHECK(times_left.empty());
    }
    SUBCASE("the target of another one gets the time that is left")
    {
        http::tests::write_all(connection, make_request("GET", "/safe/late", "1500"));
        wait_unread(300ms);
        REQUIRE(host.run_until([&] { return http::tests::has_bytes(connection); }));
        REQUIRE(times_left.size() == 1);
        CHECK(times_left.front() <= 1200);
        CHECK(times_left.front() > 0);
    }
    close(connection);
}

// Guards against callers that get no answer because they stopped within a body, and against
// requests that run although they were refused.
TEST_CASE("a request whose body is not complete at its deadline is refused")
{
    host_fixture host(plain_config);
    test_target target(host.loop, respond_success);
    host.add_target("t1", target.address());
    host.await_targets(1);
    std::string head = make_request("POST", "/once/x", "300");
    std::string part = "bo";
    SUBCASE("with a length")
    {
        head.replace(head.find("length: 0"), 9, "length: 4");
    }
    SUBCASE("in chunks")
    {
        head.replace(head.find("content-length: 0"), 17, "transfer-encoding: chunked");
        part = "2\r\nbo\r\n";
    }
    int expected_requests = 1;
    std::string before;
    SUBCASE("behind another request")
    {
        head.replace(head.find("length: 0"), 9, "length: 4");
        before = make_request("GET", "/safe/x", "2000");
        expected_requests = 2;
    }
    const int connection = connect_and_use(host);
    http::tests::write_all(connection, before + head + part);
    const std::string got = http::tests::run_in_thread(
        host.loop, [&] { return http::tests::read_until(connection, "\"}"); });
    CHECK(got.starts_with(before.empty() ? "HTTP/1.1 408" : "HTTP/1.1 200"));
    CHECK(got.find("HTTP/1.1 408") != std::string::npos);
    CHECK(got.find("\"not_run\":true") != std::string::npos);
    // Also the rest of the body no longer makes it run.
    http::tests::write_all(connection, "dy");
    http::tests::write_all(connection, "2\r\ndy\r\n0\r\n\r\n");
    CHECK(http::tests::run_in_thread(host.loop, [&] {
              return http::tests::read_all(connection);
          }).empty());
    CHECK(target.requests == expected_requests);
    close(connection);
}

// Guards against targets that run a request for a caller whose time has passed while it sent the
// body: the time began with the last byte.
TEST_CASE("the time in which a body arrives is taken off the deadline")
{
    timed_fixture host;
    std::vector<int>& times_left = host.times_left;
    std::string framing = "content-length: 4";
    std::string first = "bo";
    std::string rest = "dy";
    const auto send_slowly = [&](const std::string& time_left) {
        std::string head = make_request("POST", "/once/x", time_left);
        head.replace(head.find("content-length: 0"), 17, framing);
        const int connection = http::tests::connect_to(host.settings.entry_address);
        http::tests::write_all(connection, head + first);
        const base::time_point end = base::boot_clock::now() + 300ms;
        REQUIRE(host.run_until([&] { return base::boot_clock::now() > end; }));
        http::tests::write_all(connection, rest);
        REQUIRE(host.run_until([&] { return http::tests::has_bytes(connection); }));
        std::string got = read_bytes(connection);
        close(connection);
        return got;
    };
    SUBCASE("with a length") {}
    SUBCASE("in chunks")
    {
        framing = "transfer-encoding: chunked";
        first = "2\r\nbo\r\n";
        rest = "2\r\ndy\r\n0\r\n\r\n";
    }
    const std::string late = send_slowly("200");
    // Refused at the deadline, or at the end of the body if the loop is late.
    CHECK((late.starts_with("HTTP/1.1 408") || late.starts_with("HTTP/1.1 503")));
    CHECK(late.find("\"not_run\":true") != std::string::npos);
    CHECK(times_left.empty());
    CHECK(send_slowly("1500").starts_with("HTTP/1.1 200"));
    REQUIRE(times_left.size() == 1);
    CHECK(times_left.front() <= 1200);
    CHECK(times_left.front() > 0);
}
