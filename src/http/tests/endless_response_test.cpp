#include "http/tests/test_support.h"

#include <doctest/doctest.h>

#include <poll.h>
#include <sys/socket.h>

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <vector>

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

/// Sends without end as far as the peer takes it, and counts the bytes.
class flood {
public:
    void send_to(int descriptor)
    {
        const int small_buffer_bytes = 4 << 10; // What waits here was not taken by the peer.
        setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &small_buffer_bytes,
                   sizeof(small_buffer_bytes));
        const std::string block(1U << 10U, 'x');
        while (!m_is_stopped) {
            pollfd writable{descriptor, POLLOUT, 0};
            if (poll(&writable, 1, 5) <= 0) {
                continue;
            }
            const ssize_t count =
                send(descriptor, block.data(), block.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
            if (count < 0) {
                return;
            }
            m_bytes += static_cast<std::size_t>(count);
        }
    }

    /// Runs the loop until nothing more is taken; returns the bytes taken from all connections.
    std::size_t await_end(loop& event_loop)
    {
        std::size_t last = 0;
        int quiet_rounds = 0;
        CHECK(run_until(event_loop, [&] {
            const std::size_t now = m_bytes;
            quiet_rounds = now == last && now != 0 ? quiet_rounds + 1 : 0;
            last = now;
            return quiet_rounds == 50;
        }));
        return last;
    }

    void stop()
    {
        m_is_stopped = true;
    }

private:
    std::atomic<bool> m_is_stopped{false};
    std::atomic<std::size_t> m_bytes{0};
};

} // namespace

// Guards against a target in trouble whose bytes never end: they must not fill the memory, keep the
// connection open or look like a complete response.
TEST_CASE("a response without an end is cut, in bounded memory")
{
    std::string start = "HTTP/1.1 200 OK\r\n";
    std::string repeated;
    bool has_head = false;
    bool is_slow = false;
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
    SUBCASE("one byte at a time")
    {
        is_slow = true;
        repeated = "x";
    }
    std::atomic<int> heads_sent{0};
    raw_server endless([&](int descriptor) {
        read_until(descriptor, "\r\n\r\n");
        write_all(descriptor, start);
        ++heads_sent;
        pollfd closed{descriptor, POLLRDHUP, 0};
        while (is_slow && poll(&closed, 1, 1) == 0) {
            write_all(descriptor, repeated);
        }
        send_endlessly(descriptor, repeated);
    });
    raw_server healthy([](int descriptor) {
        read_until(descriptor, "\r\n\r\n");
        write_all(descriptor, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
    });
    loop event_loop;
    client_settings settings;
    settings.accepts_close_delimited = true;
    const std::int64_t before = resident_kib();
    const auto has_head_by = [&](std::chrono::milliseconds time) {
        client http_client(event_loop, settings);
        call_record recorded;
        client_request request = get(endless.address(), "/");
        request.deadline = from_now(time);
        const auto call = record(http_client, std::move(request), recorded);
        call_record other;
        const auto other_call = record(http_client, get(healthy.address(), "/"), other);
        REQUIRE(run_until(event_loop, [&] { return other.end.has_value(); }));
        CHECK(other.body == "ok");
        REQUIRE(run_until(event_loop, [&] { return recorded.end.has_value(); }));
        CHECK_FALSE(base::is_ok(recorded.end->outcome));
        CHECK(recorded.end->request_sent);
        return recorded.head.has_value();
    };
    int calls = 1;
    bool had_head = has_head_by(700ms);
    // On a busy machine, the target may not have sent its head by a short deadline. A head that was
    // sent and not passed on is a failure at once.
    for (auto time = 3s; has_head && !had_head && heads_sent < calls && time < 60s; time *= 4) {
        ++calls;
        had_head = has_head_by(time);
    }
    CHECK(had_head == has_head);
    REQUIRE(run_until(event_loop, [&] { return endless.closed() == calls; }));
    if (measures_memory) {
        CHECK(resident_kib() - before < max_growth_kib);
    }
}

// Guards against a process that runs out of memory because many targets send without end: each
// connection was bounded, their sum was not.
TEST_CASE("connections share the memory for bytes that were not read")
{
    constexpr std::size_t most_per_connection = 64U << 10U;
    loop event_loop;
    client_settings settings;
    flood endless;
    SUBCASE("of responses whose callers do not read on")
    {
        constexpr std::size_t count = 32;
        settings.receive_buffer_bytes = 256U << 10U;
        parallel_raw_server target([&](int descriptor) {
            read_until(descriptor, "\r\n\r\n");
            write_all(descriptor, "HTTP/1.1 200 OK\r\ncontent-length: 999999999\r\n\r\n");
            endless.send_to(descriptor);
        });
        client http_client(event_loop, settings);
        std::vector<std::unique_ptr<client_call>> calls(count);
        for (auto& call : calls) {
            call_callbacks callbacks;
            callbacks.on_body = [&call](std::string_view) {
                call->pause();
            };
            call = http_client.send(get(target.address(), "/"), std::move(callbacks));
        }
        CHECK(endless.await_end(event_loop) < count * most_per_connection);
        endless.stop();
    }
    SUBCASE("of idle connections")
    {
        std::atomic<bool> is_idle{false};
        raw_server target([&](int descriptor) {
            read_until(descriptor, "\r\n\r\n");
            write_all(descriptor, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
            pollfd closed{descriptor, POLLRDHUP, 0};
            while (!is_idle && poll(&closed, 1, 1) == 0) {
            }
            endless.send_to(descriptor);
        });
        client http_client(event_loop, settings);
        call_record seen;
        const auto call = record(http_client, get(target.address(), "/"), seen);
        REQUIRE(run_until(event_loop, [&] { return seen.end.has_value(); }));
        is_idle = true;
        CHECK(endless.await_end(event_loop) < most_per_connection);
        endless.stop();
    }
}

// Guards against calls to the store, to other hosts and for health checks that keep a body without
// end.
TEST_CASE("a fetched body without an end is cut at its limit")
{
    constexpr std::size_t max_body = 1U << 20U;
    raw_server endless([](int descriptor) {
        read_until(descriptor, "\r\n\r\n");
        write_all(descriptor, "HTTP/1.1 200 OK\r\n\r\n");
        send_endlessly(descriptor, "bytes");
    });
    loop event_loop;
    client_settings settings;
    settings.accepts_close_delimited = true;
    client http_client(event_loop, settings);
    const std::int64_t before = resident_kib();
    bool has_ended = false;
    const auto call =
        http_client.fetch(get(endless.address(), "/"), max_body, [&](const auto& fetched, bool) {
            has_ended = true;
            CHECK_FALSE(base::is_ok(fetched));
        });
    REQUIRE(run_until(event_loop, [&] { return has_ended && endless.closed() == 1; }));
    if (measures_memory) {
        CHECK(resident_kib() - before < max_growth_kib);
    }
}
