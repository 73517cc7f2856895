#include "http/tests/test_certificate.h"
#include "http/tests/test_support.h"

#include <doctest/doctest.h>
#include <openssl/ssl.h>

#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <future>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace snipeshore::http::tests {

namespace {

constexpr int small_buffer_bytes = 4 << 10;
const std::string large_body(100U << 10U, 'x');

std::string get_request(const std::string& path)
{
    return "GET " + path + " HTTP/1.1\r\nhost: a\r\n\r\n";
}

/// A server that holds requests until the test answers them, and a caller whose kernel takes little
/// of a response.
struct holding_server {
    explicit holding_server(const server_settings& settings = loopback())
        : http_server(event_loop, [this](const std::shared_ptr<exchange>& from) {
              arrived.push_back(from->head().path);
              held = from;
          })
    {
        REQUIRE(base::is_ok(http_server.listen(settings)));
    }

    ~holding_server()
    {
        if (caller != -1) {
            close(caller);
        }
    }

    holding_server(const holding_server&) = delete;
    holding_server& operator=(const holding_server&) = delete;
    holding_server(holding_server&&) = delete;
    holding_server& operator=(holding_server&&) = delete;

    std::string address() const
    {
        return http_server.bound_address();
    }

    bool await(const std::function<bool()>& holds)
    {
        return run_until(event_loop, holds);
    }

    /// Sends the bytes on the caller's connection and waits for a request.
    void take(const std::string& bytes)
    {
        if (caller == -1) {
            caller = connect_to(address(), small_buffer_bytes);
        }
        write_all(caller, bytes);
        REQUIRE(await([this] { return held != nullptr; }));
    }

    void drain()
    {
        http_server.drain([this] { is_idle = true; });
    }

    /// Answers the request; returns when the kernel has the whole response.
    void respond(const std::string& body)
    {
        std::exchange(held, nullptr)->respond({}, body);
        REQUIRE(await([this] { return http_server.active_requests() == 0 || held != nullptr; }));
    }

    raw_response receive_all()
    {
        return run_in_thread(event_loop, [this] {
            raw_response seen;
            seen.text = read_all(caller, &seen.was_reset);
            return seen;
        });
    }

    loop event_loop;
    std::vector<std::string> arrived;
    std::shared_ptr<exchange> held;
    server http_server;
    int caller = -1;
    bool is_idle = false;
};

/// A caller over TLS, for use on a thread of its own.
class tls_caller {
public:
    explicit tls_caller(const std::string& address)
        : m_context(SSL_CTX_new(TLS_client_method())), m_session(SSL_new(m_context)),
          m_descriptor(connect_to(address, small_buffer_bytes))
    {
        SSL_set_fd(m_session, m_descriptor);
        SSL_connect(m_session);
    }

    ~tls_caller()
    {
        SSL_free(m_session);
        SSL_CTX_free(m_context);
        close(m_descriptor);
    }

    tls_caller(const tls_caller&) = delete;
    tls_caller& operator=(const tls_caller&) = delete;
    tls_caller(tls_caller&&) = delete;
    tls_caller& operator=(tls_caller&&) = delete;

    void send(const std::string& text)
    {
        SSL_write(m_session, text.data(), static_cast<int>(text.size()));
    }

    /// Reads until the connection ends, by a notice of the server or by a reset.
    raw_response receive_all()
    {
        raw_response seen;
        std::vector<char> chunk(small_buffer_bytes);
        int count = 0;
        while ((count = SSL_read(m_session, chunk.data(), small_buffer_bytes)) > 0) {
            seen.text.append(chunk.data(), static_cast<std::size_t>(count));
        }
        seen.was_reset = SSL_get_error(m_session, count) != SSL_ERROR_ZERO_RETURN;
        return seen;
    }

private:
    SSL_CTX* m_context;
    SSL* m_session;
    int m_descriptor;
};

} // namespace

// Guards against responses that lose their end at a planned stop: the connection was closed while
// bytes of the caller were unread, so the kernel reset it and dropped what it had not delivered.
TEST_CASE("a drain delivers the last response to a caller that sends on")
{
    holding_server drained;
    drained.take(get_request("/first"));
    drained.drain();
    write_all(drained.caller, get_request("/second"));
    drained.respond(large_body);
    SUBCASE("before the connection is closed") {}
    SUBCASE("after the connection was closed")
    {
        REQUIRE(drained.await([&] { return drained.http_server.open_connections() == 0; }));
        write_all(drained.caller, get_request("/third"));
    }
    CHECK_FALSE(drained.is_idle); // The process must not end before the caller has its response.
    const raw_response got = drained.receive_all();
    CHECK_FALSE(got.was_reset);
    CHECK(got.text.ends_with(large_body));
    CHECK(got.text.find("Connection: close") != std::string::npos);
    CHECK(drained.arrived == std::vector<std::string>{"/first"});
    shutdown(drained.caller, SHUT_WR);
    CHECK(drained.await([&] { return drained.is_idle; }));
}

// Guards against the same over TLS.
TEST_CASE("a drain delivers the last response over TLS to a caller that sends on")
{
    const test_certificate files;
    server_settings settings = loopback();
    settings.certificate_file = files.certificate();
    settings.key_file = files.key();
    holding_server drained(settings);
    std::atomic<bool> is_closed{false};
    auto calling = std::async(std::launch::async, [&] {
        tls_caller caller(drained.address());
        caller.send(get_request("/first"));
        while (!is_closed) {
            std::this_thread::yield();
        }
        caller.send(get_request("/second"));
        return caller.receive_all();
    });
    REQUIRE(drained.await([&] { return drained.held != nullptr; }));
    drained.drain();
    drained.respond(large_body);
    REQUIRE(drained.await([&] { return drained.http_server.open_connections() == 0; }));
    CHECK(drained.http_server.lingering_count() == 1);
    is_closed = true;
    REQUIRE(drained.await([&] { return drained.is_idle; }));
    const raw_response got = calling.get();
    CHECK_FALSE(got.was_reset);
    CHECK(got.text.ends_with(large_body));
}

// Guards against the same for a response that began before the drain, on a connection that stays
// open behind it.
TEST_CASE("a drain ends only when the responses were delivered")
{
    holding_server drained;
    drained.take(get_request("/"));
    drained.respond(large_body);
    bool has_passed_quiet_time = false;
    drained.drain();
    drained.event_loop.schedule(from_now(std::chrono::milliseconds(300)),
                                [&] { has_passed_quiet_time = true; });
    REQUIRE(drained.await([&] { return has_passed_quiet_time; }));
    CHECK_FALSE(drained.is_idle);
    auto reading =
        std::async(std::launch::async, [&] { return read_until(drained.caller, large_body); });
    CHECK(drained.await([&] { return drained.is_idle; }));
    CHECK(reading.get().ends_with(large_body));
}

// Guards against a stop that waits for callers that never close, and against descriptors, memory
// and processor time that such callers hold.
TEST_CASE("a caller cannot keep its connection open behind the last response")
{
    server_settings settings = loopback();
    std::string sent;
    SUBCASE("longer than the linger timeout")
    {
        settings.linger_timeout = std::chrono::milliseconds(20);
    }
    SUBCASE("by sending more than a request may have")
    {
        settings.linger_timeout = std::chrono::hours(1);
        settings.max_request_bytes = 1000;
        sent = std::string(2000, 'x');
    }
    holding_server drained(settings);
    drained.take(get_request("/"));
    drained.drain();
    drained.respond(large_body);
    write_all(drained.caller, sent);
    CHECK(drained.await([&] { return drained.is_idle; }));
}

// Guards against rejections that callers do not receive because the connection is reset while they
// send the rest of the request.
TEST_CASE("a caller that sends on receives the rejection of its request")
{
    server_settings settings = loopback();
    settings.max_request_bytes = 1U << 20U;
    std::string head = "POST / HTTP/1.1\r\nhost: a\r\n";
    std::string status;
    SUBCASE("for a body over the limit")
    {
        head += "content-length: 1048577\r\n\r\n";
        status = "HTTP/1.1 413 ";
    }
    SUBCASE("for an invalid length")
    {
        head += "content-length: many\r\n\r\n";
        status = "HTTP/1.1 400 ";
    }
    holding_server rejecting(settings);
    rejecting.caller = connect_to(rejecting.address());
    run_in_thread(rejecting.event_loop, [&] {
        write_all(rejecting.caller, head + std::string(settings.max_request_bytes / 2, 'x'));
        return true;
    });
    const raw_response got = rejecting.receive_all();
    CHECK_FALSE(got.was_reset);
    CHECK(got.text.starts_with(status));
}

// Guards against callers that keep others out by not closing their connections.
TEST_CASE("a lingering connection makes room for a new one")
{
    server_settings settings = loopback();
    settings.max_connections = 1;
    settings.linger_timeout = std::chrono::hours(1);
    holding_server crowded(settings);
    const int lingering = connect_to(crowded.address());
    write_all(lingering, "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 99999999\r\n\r\n");
    REQUIRE(crowded.await([&] { return has_bytes(lingering); }));
    crowded.take(get_request("/"));
    CHECK(crowded.await([&] { return crowded.http_server.lingering_count() == 0; }));
    close(lingering);
}

// Guards against responses that lose their end because a later one on the connection is aborted.
TEST_CASE("an aborted response does not cut the responses before it")
{
    holding_server aborting;
    aborting.take(get_request("/first") + get_request("/second"));
    aborting.respond(large_body);
    response_head head;
    SUBCASE("with a length")
    {
        head.content_length = 10;
    }
    SUBCASE("in chunks") {}
    aborting.held->start_response(head);
    aborting.held->write("part");
    write_all(aborting.caller, get_request("/third"));
    aborting.held->abort();
    REQUIRE(aborting.await([&] { return aborting.http_server.open_connections() == 0; }));
    const raw_response got = aborting.receive_all();
    CHECK_FALSE(got.was_reset);
    CHECK(got.text.find(large_body + "HTTP/1.1 200") != std::string::npos);
    CHECK_FALSE(got.text.ends_with("0\r\n\r\n"));
}

// Guards against a response without a length that was cut and looks complete, because its
// connection ends as after a complete one.
TEST_CASE("an aborted response without a length ends with a reset during a drain")
{
    holding_server aborting;
    aborting.take("GET / HTTP/1.0\r\nhost: a\r\n\r\n");
    aborting.drain();
    aborting.held->start_response({});
    aborting.held->write("part");
    REQUIRE(aborting.await([&] { return has_bytes(aborting.caller); }));
    aborting.held->abort();
    CHECK(aborting.receive_all().was_reset);
    CHECK(aborting.await([&] { return aborting.is_idle; }));
}

} // namespace snipeshore::http::tests
