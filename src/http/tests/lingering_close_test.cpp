#include "http/tests/test_certificate.h"
#include "http/tests/test_support.h"

#include <doctest/doctest.h>
#include <openssl/ssl.h>

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <string>
#include <thread>
#include <vector>

namespace snipeshore::http::tests {

namespace {

constexpr std::size_t body_bytes = 100U << 10U;
constexpr int small_buffer_bytes = 4 << 10;

server_settings loopback()
{
    server_settings settings;
    settings.address = "127.0.0.1:0";
    return settings;
}

std::string get_request(const std::string& path)
{
    return "GET " + path + " HTTP/1.1\r\nhost: a\r\n\r\n";
}

/// Everything that the caller receives while the loop runs, until the connection ends.
struct received {
    std::string text;
    bool was_reset = false;
};

received receive_all(loop& event_loop, int caller)
{
    received result;
    auto reading =
        std::async(std::launch::async, [&] { result.text = read_all(caller, &result.was_reset); });
    REQUIRE(run_until(event_loop, [&] {
        return reading.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
    }));
    reading.get();
    return result;
}

/// A draining server whose last response has been handed to the kernel, on a connection whose
/// caller has read none of it and has sent another request.
struct drained_server {
    explicit drained_server(const server_settings& settings = loopback())
        : http_server(event_loop, [this](const std::shared_ptr<exchange>& from) {
              arrived.push_back(from->head().path);
              held = from;
          })
    {
        REQUIRE(base::is_ok(http_server.listen(settings)));
        caller = connect_to(http_server.bound_address(), small_buffer_bytes);
        write_all(caller, get_request("/first"));
        REQUIRE(run_until(event_loop, [&] { return held != nullptr; }));
        http_server.drain([this] { is_idle = true; });
        write_all(caller, get_request("/second"));
        held->respond({}, std::string(body_bytes, 'x'));
        REQUIRE(run_until(event_loop, [&] { return http_server.active_requests() == 0; }));
    }

    ~drained_server()
    {
        close(caller);
    }

    drained_server(const drained_server&) = delete;
    drained_server& operator=(const drained_server&) = delete;
    drained_server(drained_server&&) = delete;
    drained_server& operator=(drained_server&&) = delete;

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
    received receive_all()
    {
        received result;
        std::vector<char> chunk(small_buffer_bytes);
        int count = 0;
        while ((count = SSL_read(m_session, chunk.data(), small_buffer_bytes)) > 0) {
            result.text.append(chunk.data(), static_cast<std::size_t>(count));
        }
        result.was_reset = SSL_get_error(m_session, count) != SSL_ERROR_ZERO_RETURN;
        return result;
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
    drained_server drained;
    SUBCASE("before the connection is closed") {}
    SUBCASE("after the connection was closed")
    {
        REQUIRE(run_until(drained.event_loop,
                          [&] { return drained.http_server.open_connections() == 0; }));
        write_all(drained.caller, get_request("/third"));
    }
    CHECK_FALSE(drained.is_idle); // The process must not end before the caller has its response.
    const received got = receive_all(drained.event_loop, drained.caller);
    CHECK_FALSE(got.was_reset);
    CHECK(got.text.ends_with(std::string(body_bytes, 'x')));
    CHECK(got.text.find("Connection: close") != std::string::npos);
    CHECK(drained.arrived == std::vector<std::string>{"/first"});
    shutdown(drained.caller, SHUT_WR);
    CHECK(run_until(drained.event_loop, [&] { return drained.is_idle; }));
}

// Guards against the same over TLS.
TEST_CASE("a drain delivers the last response over TLS to a caller that sends on")
{
    loop event_loop;
    const test_certificate files;
    std::shared_ptr<exchange> held;
    server http_server(event_loop, [&](const std::shared_ptr<exchange>& from) { held = from; });
    server_settings settings = loopback();
    settings.certificate_file = files.certificate();
    settings.key_file = files.key();
    REQUIRE(base::is_ok(http_server.listen(settings)));
    std::atomic<bool> is_closed{false};
    auto calling = std::async(std::launch::async, [&] {
        tls_caller caller(http_server.bound_address());
        caller.send(get_request("/first"));
        while (!is_closed) {
            std::this_thread::yield();
        }
        caller.send(get_request("/second"));
        return caller.receive_all();
    });
    REQUIRE(run_until(event_loop, [&] { return held != nullptr; }));
    bool is_idle = false;
    http_server.drain([&] { is_idle = true; });
    held->respond({}, std::string(body_bytes, 'x'));
    REQUIRE(run_until(event_loop, [&] { return http_server.open_connections() == 0; }));
    CHECK(http_server.lingering_count() == 1);
    is_closed = true;
    REQUIRE(run_until(event_loop, [&] { return is_idle; }));
    const received got = calling.get();
    CHECK_FALSE(got.was_reset);
    CHECK(got.text.ends_with(std::string(body_bytes, 'x')));
}

// Guards against the same for a response that began before the drain, on a connection that stays
// open behind it.
TEST_CASE("a drain ends only when the responses were delivered")
{
    loop event_loop;
    server http_server(event_loop, [](const std::shared_ptr<exchange>& from) {
        from->respond({}, std::string(body_bytes, 'x'));
    });
    REQUIRE(base::is_ok(http_server.listen(loopback())));
    const int caller = connect_to(http_server.bound_address(), small_buffer_bytes);
    write_all(caller, get_request("/"));
    REQUIRE(run_until(event_loop, [&] { return has_bytes(caller); }));
    REQUIRE(run_until(event_loop, [&] { return http_server.active_requests() == 0; }));
    bool is_idle = false;
    bool has_passed_quiet_time = false;
    http_server.drain([&] { is_idle = true; });
    event_loop.schedule(from_now(std::chrono::milliseconds(300)),
                        [&] { has_passed_quiet_time = true; });
    REQUIRE(run_until(event_loop, [&] { return has_passed_quiet_time; }));
    CHECK_FALSE(is_idle);
    auto reading = std::async(std::launch::async,
                              [&] { return read_until(caller, std::string(body_bytes, 'x')); });
    CHECK(run_until(event_loop, [&] { return is_idle; }));
    CHECK(reading.get().ends_with(std::string(body_bytes, 'x')));
    close(caller);
}

// Guards against a stop that waits for callers that never close, and against descriptors, memory
// and processor time that such callers hold.
TEST_CASE("a caller cannot keep its connection open behind the last response")
{
    server_settings settings = loopback();
    SUBCASE("longer than the linger timeout")
    {
        settings.linger_timeout = std::chrono::milliseconds(20);
        drained_server drained(settings);
        CHECK(run_until(drained.event_loop, [&] { return drained.is_idle; }));
    }
    SUBCASE("by sending more than a request may have")
    {
        settings.linger_timeout = std::chrono::hours(1);
        settings.max_request_bytes = 1000;
        drained_server drained(settings);
        write_all(drained.caller, std::string(2000, 'x'));
        CHECK(run_until(drained.event_loop, [&] { return drained.is_idle; }));
    }
}

// Guards against rejections that callers do not receive because the connection is reset while they
// send the rest of the request.
TEST_CASE("a caller that sends on receives the rejection of its request")
{
    loop event_loop;
    server http_server(event_loop,
                       [](const std::shared_ptr<exchange>& from) { from->respond({}, "x"); });
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
    REQUIRE(base::is_ok(http_server.listen(settings)));
    const int caller = connect_to(http_server.bound_address());
    auto sending = std::async(std::launch::async, [&] {
        write_all(caller, head + std::string(settings.max_request_bytes / 2, 'x'));
    });
    REQUIRE(run_until(event_loop, [&] {
        return sending.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
    }));
    const received got = receive_all(event_loop, caller);
    CHECK_FALSE(got.was_reset);
    CHECK(got.text.starts_with(status));
    close(caller);
}

// Guards against callers that keep others out by not closing their connections.
TEST_CASE("a lingering connection makes room for a new one")
{
    loop event_loop;
    server http_server(event_loop,
                       [](const std::shared_ptr<exchange>& from) { from->respond({}, "x"); });
    server_settings settings = loopback();
    settings.max_connections = 1;
    settings.linger_timeout = std::chrono::hours(1);
    REQUIRE(base::is_ok(http_server.listen(settings)));
    const int lingering = connect_to(http_server.bound_address());
    write_all(lingering, "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 99999999\r\n\r\n");
    REQUIRE(run_until(event_loop, [&] { return has_bytes(lingering); }));
    const int next = connect_to(http_server.bound_address());
    write_all(next, get_request("/"));
    CHECK(run_until(event_loop, [&] { return has_bytes(next); }));
    close(lingering);
    close(next);
}

// Guards against responses that lose their end because a later one on the connection is aborted.
TEST_CASE("an aborted response does not cut the responses before it")
{
    loop event_loop;
    std::shared_ptr<exchange> held;
    server http_server(event_loop, [&](const std::shared_ptr<exchange>& from) { held = from; });
    REQUIRE(base::is_ok(http_server.listen(loopback())));
    const int caller = connect_to(http_server.bound_address(), small_buffer_bytes);
    write_all(caller, get_request("/first") + get_request("/second"));
    REQUIRE(run_until(event_loop, [&] { return held != nullptr; }));
    std::exchange(held, nullptr)->respond({}, std::string(body_bytes, 'x'));
    REQUIRE(run_until(event_loop, [&] { return held != nullptr; }));
    response_head head;
    SUBCASE("with a length")
    {
        head.content_length = 10;
    }
    SUBCASE("in chunks") {}
    held->start_response(head);
    held->write("part");
    write_all(caller, get_request("/third"));
    held->abort();
    REQUIRE(run_until(event_loop, [&] { return http_server.open_connections() == 0; }));
    const received got = receive_all(event_loop, caller);
    CHECK_FALSE(got.was_reset);
    CHECK(got.text.find(std::string(body_bytes, 'x') + "HTTP/1.1 200") != std::string::npos);
    CHECK_FALSE(got.text.ends_with("0\r\n\r\n"));
    close(caller);
}

// Guards against a response without a length that was cut and looks complete, because its
// connection ends as after a complete one.
TEST_CASE("an aborted response without a length ends with a reset during a drain")
{
    loop event_loop;
    std::shared_ptr<exchange> held;
    server http_server(event_loop, [&](const std::shared_ptr<exchange>& from) { held = from; });
    REQUIRE(base::is_ok(http_server.listen(loopback())));
    const int caller = connect_to(http_server.bound_address());
    write_all(caller, "GET / HTTP/1.0\r\nhost: a\r\n\r\n");
    REQUIRE(run_until(event_loop, [&] { return held != nullptr; }));
    bool is_idle = false;
    http_server.drain([&] { is_idle = true; });
    held->start_response({});
    held->write("part");
    REQUIRE(run_until(event_loop, [&] { return has_bytes(caller); }));
    held->abort();
    const received got = receive_all(event_loop, caller);
    CHECK(got.was_reset);
    CHECK(run_until(event_loop, [&] { return is_idle; }));
    close(caller);
}

} // namespace snipeshore::http::tests
