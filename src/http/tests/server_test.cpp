#include "http/tests/test_certificate.h"
#include "http/tests/test_support.h"

#include <doctest/doctest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <future>

namespace snipeshore::http::tests {

namespace {

/// Sends bytes on a new connection and reads until the connection ends.
raw_response send_raw(loop& event_loop, const std::string& address, const std::string& bytes)
{
    return run_in_thread(event_loop, [&] {
        raw_response seen;
        const int descriptor = connect_to(address);
        write_all(descriptor, bytes);
        seen.text = read_all(descriptor, &seen.was_reset);
        close(descriptor);
        return seen;
    });
}

constexpr int frame_data = 0;
constexpr int frame_headers = 1;
constexpr int frame_reset = 3;
constexpr int frame_settings = 4;
constexpr int flag_end_stream = 1;
constexpr int flag_end_headers = 4;
constexpr std::size_t frame_head_bytes = 9;

struct http2_frame {
    int type = -1;
    int stream = 0;
    std::string payload;
};

std::string make_frame(int type, int flags, int stream, const std::string& payload)
{
    const std::size_t size = payload.size();
    std::string out;
    for (const std::size_t byte : {size >> 16U, size >> 8U, size}) {
        out += static_cast<char>(byte & 0xffU);
    }
    out += static_cast<char>(type);
    out += static_cast<char>(flags);
    out += std::string(3, '\0') + static_cast<char>(stream);
    return out + payload;
}

std::string read_bytes(int descriptor, std::size_t count)
{
    std::string out(count, '\0');
    const ssize_t got = recv(descriptor, out.data(), count, MSG_WAITALL);
    out.resize(got > 0 ? static_cast<std::size_t>(got) : 0);
    return out;
}

/// Reads frames up to the next one of the stream; its type is -1 at the end of the connection.
http2_frame read_frame_of(int descriptor, int stream)
{
    while (true) {
        const std::string head = read_bytes(descriptor, frame_head_bytes);
        if (head.size() != frame_head_bytes) {
            return {};
        }
        const auto byte = [&](std::size_t at) {
            return static_cast<unsigned char>(head[at]);
        };
        const std::size_t size = (byte(0) << 16U) | (byte(1) << 8U) | byte(2);
        http2_frame seen{byte(3), byte(8), read_bytes(descriptor, size)};
        if (seen.stream == stream) {
            return seen;
        }
    }
}

/// Starts a response and aborts it after one chunk.
void respond_and_abort(const std::shared_ptr<exchange>& from, std::optional<std::uint64_t> length)
{
    response_head head;
    head.content_length = length;
    from->on_writable([from] { from->abort(); });
    from->start_response(head);
    from->write("12345");
}

} // namespace

TEST_CASE("an aborted response never looks complete")
{
    loop event_loop;
    std::optional<std::uint64_t> length;
    server http_server(event_loop, [&](const std::shared_ptr<exchange>& from) {
        respond_and_abort(from, length);
    });
    REQUIRE(base::is_ok(http_server.listen(loopback())));

    SUBCASE("with chunks")
    {
        const auto seen =
            send_raw(event_loop, http_server.bound_address(), "GET / HTTP/1.1\r\nhost: a\r\n\r\n");
        CHECK(seen.text.find("12345") != std::string::npos);
        CHECK(seen.text.find("\r\n0\r\n") == std::string::npos);
    }
    SUBCASE("with a length")
    {
        length = 10;
        const auto seen =
            send_raw(event_loop, http_server.bound_address(), "GET / HTTP/1.1\r\nhost: a\r\n\r\n");
        CHECK(seen.text.find("Content-Length: 10") != std::string::npos);
        CHECK(seen.text.substr(seen.text.size() - 5) == "12345");
    }
    SUBCASE("to HTTP/1.0, where a close ends the response")
    {
        const auto seen =
            send_raw(event_loop, http_server.bound_address(), "GET / HTTP/1.0\r\nhost: a\r\n\r\n");
        CHECK(seen.was_reset);
    }
    SUBCASE("to http::client")
    {
        client http_client(event_loop, {});
        call_record seen;
        const auto call = record(http_client, get(http_server.bound_address(), "/"), seen);
        REQUIRE(run_until(event_loop, [&] { return seen.end.has_value(); }));
        CHECK(base::error_of(seen.end->outcome).kind == base::error_kind::answer_invalid);
    }
    SUBCASE("to an HTTP/2 caller")
    {
        const auto seen = run_command(event_loop, "curl -sS --http2-prior-knowledge http://" +
                                                      http_server.bound_address() + "/");
        CHECK(seen.code != 0);
    }
}

TEST_CASE("an abort ends the request of a caller that has stopped reading")
{
    loop event_loop;
    std::shared_ptr<exchange> held;
    std::size_t written = 0;
    server http_server(event_loop, [&](const std::shared_ptr<exchange>& from) {
        held = from;
        const auto send = [&, raw = from.get()] {
            written += 65536;
            raw->write(std::string(65536, 'x'));
        };
        from->on_writable(send);
        from->start_response({});
        send();
    });
    REQUIRE(base::is_ok(http_server.listen(loopback())));
    std::string version = "1.1";
    SUBCASE("with chunks") {}
    SUBCASE("with HTTP/1.0, where a close would end the response")
    {
        version = "1.0";
    }
    const int descriptor = connect_to(http_server.bound_address());
    write_all(descriptor, "GET / HTTP/" + version + "\r\nhost: a\r\n\r\n");
    std::size_t last = 0;
    int quiet_rounds = 0;
    REQUIRE(run_until(event_loop, [&] {
        quiet_rounds = written == last && written != 0 ? quiet_rounds + 1 : 0;
        last = written;
        return quiet_rounds == 20;
    }));
    held->abort();
    CHECK(run_until(event_loop, [&] { return http_server.active_requests() == 0; }));
    CHECK(run_until(event_loop, [&] { return http_server.open_connections() == 0; }));
    bool was_reset = false;
    read_all(descriptor, &was_reset);
    close(descriptor);
    CHECK(was_reset);
}

TEST_CASE("a rejected HTTP/2 body does not affect the caller's other requests")
{
    loop event_loop;
    std::shared_ptr<exchange> held;
    server http_server(event_loop, [&](const std::shared_ptr<exchange>& from) { held = from; });
    server_settings settings = loopback();
    settings.max_request_bytes = 1000;
    REQUIRE(base::is_ok(http_server.listen(settings)));
    const int descriptor = connect_to(http_server.bound_address());
    write_all(descriptor, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" +
                              make_frame(frame_settings, 0, 0, "") +
                              make_frame(frame_headers, flag_end_headers | flag_end_stream, 1,
                                         "\x82\x86\x84\x41\x01"
                                         "a") +
                              make_frame(frame_headers, flag_end_headers, 3,
                                         "\x83\x86\x84\x41\x01"
                                         "a") +
                              make_frame(frame_data, flag_end_stream, 3, std::string(1001, 'x')));
    const auto rejection = run_in_thread(event_loop, [&] { return read_frame_of(descriptor, 3); });
    CHECK(rejection.type == frame_reset);
    REQUIRE(held);
    held->respond({}, "whole");
    const auto head = run_in_thread(event_loop, [&] { return read_frame_of(descriptor, 1); });
    CHECK(head.type == frame_headers);
    const auto body = run_in_thread(event_loop, [&] { return read_frame_of(descriptor, 1); });
    CHECK(body.type == frame_data);
    CHECK(body.payload == "whole");
    close(descriptor);
}

TEST_CASE("a response whose body does not match its length is aborted")
{
    loop event_loop;
    std::string chunk;
    SUBCASE("too short")
    {
        chunk = "1234";
    }
    SUBCASE("too long")
    {
        chunk = "123456";
    }
    server http_server(event_loop, [&](const std::shared_ptr<exchange>& from) {
        response_head head;
        head.content_length = 5;
        from->start_response(head);
        from->write(chunk);
        from->finish();
    });
    REQUIRE(base::is_ok(http_server.listen(loopback())));
    client http_client(event_loop, {});
    call_record seen;
    const auto call = record(http_client, get(http_server.bound_address(), "/"), seen);
    REQUIRE(run_until(event_loop, [&] { return seen.end.has_value(); }));
    CHECK_FALSE(base::is_ok(seen.end->outcome));
}

TEST_CASE("a request body over the limit is rejected")
{
    loop event_loop;
    int handled = 0;
    server http_server(event_loop, [&](const std::shared_ptr<exchange>& from) {
        ++handled;
        from->respond({}, "");
    });
    server_settings settings = loopback();
    settings.max_request_bytes = 1000;
    REQUIRE(base::is_ok(http_server.listen(settings)));

    SUBCASE("announced by its length")
    {
        const auto seen = send_raw(event_loop, http_server.bound_address(),
                                   "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1001\r\n\r\n");
        CHECK(seen.text.substr(0, 12) == "HTTP/1.1 413");
        CHECK(seen.text.find("2.2.5") == std::string::npos);
    }
    SUBCASE("in chunks")
    {
        const auto seen =
            send_raw(event_loop, http_server.bound_address(),
                     "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3e9\r\n" +
                         std::string(1001, 'x') + "\r\n0\r\n\r\n");
        CHECK(seen.text.substr(0, 12) == "HTTP/1.1 413");
    }
    SUBCASE("with HTTP/2")
    {
        const auto seen = run_command(
            event_loop, "head -c 1001 /dev/zero | curl -sS -o /dev/null -w '%{http_code}' "
                        "--http2-prior-knowledge --data-binary @- http://" +
                            http_server.bound_address() + "/");
        // h2o resets the stream instead of responding with 413.
        CHECK(seen.output.find("200") == std::string::npos);
    }
    CHECK(handled == 0);
}

TEST_CASE("responses to malformed requests do not reveal the server version, and no handler runs")
{
    loop event_loop;
    int handled = 0;
    server http_server(event_loop, [&](const std::shared_ptr<exchange>& from) {
        ++handled;
        from->respond({}, "");
    });
    REQUIRE(base::is_ok(http_server.listen(loopback())));
    for (const char* bytes :
         {"nonsense\r\n\r\n", "GET / HTTP/1.1\r\ncontent-length: x\r\n\r\n",
          "POST / HTTP/1.1\r\ntransfer-encoding: gzip\r\n\r\n",
          "POST / HTTP/1.1\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n"}) {
        CAPTURE(bytes);
        const auto seen = send_raw(event_loop, http_server.bound_address(), bytes);
        CHECK(seen.text.find("2.2") == std::string::npos);
        CHECK(seen.text.find("h2o") == std::string::npos);
    }
    CHECK(handled == 0);
}

TEST_CASE("HTTP/2 and TLS")
{
    loop event_loop;
    const test_certificate files;
    server http_server(event_loop, [](const std::shared_ptr<exchange>& from) {
        response_head head;
        head.headers.push_back({"x-authority", from->head().authority});
        from->respond(head, from->head().method + from->head().path + std::string(from->body()));
    });
    server_settings settings = loopback();
    settings.certificate_file = files.certificate();
    settings.key_file = files.key();
    REQUIRE(base::is_ok(http_server.listen(settings)));
    const std::string url = "https://" + http_server.bound_address() + "/a?b";
    const std::string curl =
        "curl -sS --cacert " + files.certificate() + " -w ' %{http_version} %{http_code}' ";

    SUBCASE("HTTP/2 by ALPN")
    {
        const auto seen = run_command(event_loop, curl + url);
        CHECK(seen.output == "GET/a?b 2 200");
    }
    SUBCASE("HTTP/1.1 by ALPN")
    {
        const auto seen = run_command(event_loop, curl + "--http1.1 -d work " + url);
        CHECK(seen.output == "POST/a?bwork 1.1 200");
    }
    SUBCASE("with TLS 1.2")
    {
        const auto seen = run_command(event_loop, curl + "--tls-max 1.2 " + url);
        CHECK(seen.output == "GET/a?b 2 200");
    }
    SUBCASE("not with TLS 1.1")
    {
        const auto seen = run_command(event_loop, curl + "--tls-max 1.1 " + url);
        CHECK(seen.code != 0);
    }
    SUBCASE("unencrypted HTTP/2 needs no certificate")
    {
        server plain(event_loop,
                     [](const std::shared_ptr<exchange>& from) { from->respond({}, "x"); });
        REQUIRE(base::is_ok(plain.listen(loopback())));
        const auto seen = run_command(
            event_loop, "curl -sS -w ' %{http_version}' --http2-prior-knowledge http://" +
                            plain.bound_address() + "/");
        CHECK(seen.output == "x 2");
    }
}

TEST_CASE("a large response streams over HTTP/2 and TLS with back-pressure")
{
    loop event_loop;
    const test_certificate files;
    constexpr std::size_t size = 32U << 20U;
    std::size_t left = size;
    server http_server(event_loop, [&](const std::shared_ptr<exchange>& from) {
        from->on_writable([&, from] {
            const std::size_t chunk_size = std::min<std::size_t>(left, 65536);
            left -= chunk_size;
            if (chunk_size == 0) {
                from->finish();
                return;
            }
            from->write(std::string(chunk_size, 'x'));
        });
        left -= 10;
        from->start_response({});
        from->write("0123456789");
    });
    server_settings settings = loopback();
    settings.certificate_file = files.certificate();
    settings.key_file = files.key();
    REQUIRE(base::is_ok(http_server.listen(settings)));
    const std::int64_t before = resident_kib();
    const auto seen =
        run_command(event_loop, "curl -sS --cacert " + files.certificate() + " https://" +
                                    http_server.bound_address() + "/ | wc -c");
    CHECK(std::stoul(seen.output) == size);
    CHECK((!measures_memory || resident_kib() - before < 12288));
}

TEST_CASE("a disconnect of the caller during a request is detected")
{
    loop event_loop;
    const test_certificate files;
    int closed = 0;
    std::vector<std::shared_ptr<exchange>> held;
    server http_server(event_loop, [&](const std::shared_ptr<exchange>& from) {
        held.push_back(from);
        from->on_closed([&] { ++closed; });
    });
    server_settings settings = loopback();
    std::string options = "--http1.1 http://";
    SUBCASE("HTTP/1.1") {}
    SUBCASE("HTTP/2")
    {
        options = "--http2-prior-knowledge http://";
    }
    SUBCASE("HTTP/1.1 with TLS")
    {
        settings.certificate_file = files.certificate();
        settings.key_file = files.key();
        options = "-k --http1.1 https://";
    }
    SUBCASE("HTTP/2 with TLS")
    {
        settings.certificate_file = files.certificate();
        settings.key_file = files.key();
        options = "-k https://";
    }
    REQUIRE(base::is_ok(http_server.listen(settings)));
    run_command(event_loop,
                "curl -sS --max-time 0.1 " + options + http_server.bound_address() + "/");
    CHECK(
        run_until(event_loop, [&] { return closed == 1 && http_server.open_connections() == 0; }));
    CHECK(held.size() == 1);
}

TEST_CASE("a missing certificate is reported as bad_setting")
{
    loop event_loop;
    server http_server(event_loop, {});
    server_settings settings = loopback();
    settings.certificate_file = "/nonexistent/certificate.pem";
    settings.key_file = "/nonexistent/key.pem";
    const auto outcome = http_server.listen(settings);
    REQUIRE_FALSE(base::is_ok(outcome));
    CHECK(base::error_of(outcome).kind == base::error_kind::bad_setting);
}

TEST_CASE("an address can be bound by only one server")
{
    loop event_loop;
    server first(event_loop, {});
    server second(event_loop, {});
    REQUIRE(base::is_ok(first.listen(loopback())));
    server_settings settings = loopback();
    settings.address = first.bound_address();
    CHECK_FALSE(base::is_ok(second.listen(settings)));
}

TEST_CASE("a drain lets requests in progress finish")
{
    loop event_loop;
    std::shared_ptr<exchange> held;
    server http_server(event_loop, [&](const std::shared_ptr<exchange>& from) { held = from; });
    REQUIRE(base::is_ok(http_server.listen(loopback())));
    const std::string address = http_server.bound_address();
    bool is_idle = false;

    SUBCASE("with HTTP/1.1")
    {
        client http_client(event_loop, {});
        call_record seen;
        const auto call = record(http_client, get(address, "/"), seen);
        REQUIRE(run_until(event_loop, [&] { return held != nullptr; }));
        http_server.drain([&] { is_idle = true; });
        // The listener is closed, while the request is still in progress.
        call_record refused;
        const auto late = record(http_client, get(address, "/"), refused);
        REQUIRE(run_until(event_loop, [&] { return refused.end.has_value(); }));
        CHECK(base::error_of(refused.end->outcome).kind == base::error_kind::connect_failed);
        CHECK_FALSE(is_idle);
        held->start_response({});
        held->write("part ");
        held->write("whole");
        held->finish();
        REQUIRE(run_until(event_loop, [&] { return seen.end && is_idle; }));
        CHECK(base::is_ok(seen.end->outcome));
        CHECK(seen.body == "part whole");
        // The response made the client close the connection.
        CHECK(run_until(event_loop, [&] { return http_server.open_connections() == 0; }));
    }
    SUBCASE("with HTTP/2")
    {
        std::string option;
        SUBCASE("from the start")
        {
            option = "--http2-prior-knowledge";
        }
        SUBCASE("after an upgrade")
        {
            option = "--http2";
        }
        std::string output;
        auto running = std::async(std::launch::async, [&] {
            FILE* pipe =
                popen(("curl -sS " + option + " http://" + address + "/ 2>&1").c_str(), "r");
            std::array<char, 256> chunk{};
            std::size_t count = 0;
            while ((count = fread(chunk.data(), 1, chunk.size(), pipe)) > 0) {
                output.append(chunk.data(), count);
            }
            return pclose(pipe);
        });
        REQUIRE(run_until(event_loop, [&] { return held != nullptr; }));
        http_server.drain([&] { is_idle = true; });
        held->respond({}, "whole");
        REQUIRE(run_until(event_loop, [&] {
            return is_idle &&
                   running.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
        }));
        CHECK(running.get() == 0);
        CHECK(output == "whole");
    }
}

TEST_CASE("a request on an idle connection at the start of a drain is still served")
{
    loop event_loop;
    server http_server(event_loop,
                       [&](const std::shared_ptr<exchange>& from) { from->respond({}, "x"); });
    REQUIRE(base::is_ok(http_server.listen(loopback())));
    client http_client(event_loop, {});
    call_record first;
    const auto call = record(http_client, get(http_server.bound_address(), "/"), first);
    REQUIRE(run_until(event_loop, [&] { return first.end.has_value(); }));
    bool is_idle = false;
    http_server.drain([&] { is_idle = true; });
    call_record second;
    const auto next = record(http_client, get(http_server.bound_address(), "/"), second);
    REQUIRE(run_until(event_loop, [&] { return second.end && is_idle; }));
    CHECK(base::is_ok(second.end->outcome));
}

// Guards against deadlines that begin when the body is complete, so that targets work for callers
// whose time is over, and against deadlines that begin while a connection is idle.
TEST_CASE("a request has arrived when its first bytes have")
{
    loop event_loop;
    std::optional<base::time_point> arrived;
    server http_server(event_loop, [&](const std::shared_ptr<exchange>& from) {
        arrived = from->received_at();
        from->respond({}, "done");
    });
    REQUIRE(base::is_ok(http_server.listen(loopback())));
    const auto pass_time = [&] {
        const base::time_point end = from_now(std::chrono::milliseconds(200));
        REQUIRE(run_until(event_loop, [&] { return base::boot_clock::now() > end; }));
    };
    const int caller = connect_to(http_server.bound_address());
    for (int i = 0; i < 2; ++i) {
        pass_time();
        const base::time_point begin = base::boot_clock::now();
        write_all(caller, "POST / HTTP/1.1\r\nhost: a\r\ncontent-le");
        pass_time();
        write_all(caller, "ngth: 8\r\n\r\nhalf");
        pass_time();
        CHECK(!arrived.has_value());
        const base::time_point before_last_bytes = begin + std::chrono::milliseconds(200);
        write_all(caller, "rest");
        REQUIRE(run_until(event_loop, [&] { return arrived.has_value(); }));
        CHECK(*arrived < before_last_bytes);
        // The kernel and h2o tell times in whole milliseconds.
        CHECK(*arrived > begin - std::chrono::milliseconds(50));
        arrived.reset();
    }
    close(caller);
}

TEST_CASE("connections over the limit wait until one closes")
{
    loop event_loop;
    server http_server(event_loop,
                       [](const std::shared_ptr<exchange>& from) { from->respond({}, "x"); });
    server_settings settings = loopback();
    settings.max_connections = 1;
    REQUIRE(base::is_ok(http_server.listen(settings)));
    const int first = connect_to(http_server.bound_address());
    REQUIRE(run_until(event_loop, [&] { return http_server.open_connections() == 1; }));
    std::atomic<bool> is_answered{false};
    std::thread second([&] {
        const int descriptor = connect_to(http_server.bound_address());
        write_all(descriptor, "GET / HTTP/1.1\r\nhost: a\r\n\r\n");
        is_answered = !read_until(descriptor, "\r\n\r\n").empty();
        close(descriptor);
    });
    int rounds = 0;
    REQUIRE(run_until(event_loop, [&] { return ++rounds > 20; }));
    CHECK_FALSE(is_answered);
    CHECK(http_server.open_connections() == 1);
    close(first);
    CHECK(run_until(event_loop, [&] { return is_answered.load(); }));
    second.join();
}

TEST_CASE("a server that is destroyed calls no callback and closes its connections")
{
    loop event_loop;
    bool is_called = false;
    std::shared_ptr<exchange> held;
    auto http_server =
        std::make_unique<server>(event_loop, [&](const std::shared_ptr<exchange>& from) {
            held = from;
            from->on_closed([&] { is_called = true; });
        });
    REQUIRE(base::is_ok(http_server->listen(loopback())));
    client http_client(event_loop, {});
    call_record seen;
    const auto call = record(http_client, get(http_server->bound_address(), "/"), seen);
    REQUIRE(run_until(event_loop, [&] { return held != nullptr; }));
    http_server.reset();
    REQUIRE(run_until(event_loop, [&] { return seen.end.has_value(); }));
    CHECK_FALSE(base::is_ok(seen.end->outcome));
    CHECK_FALSE(is_called);
    held->respond({}, "late");
}

} // namespace snipeshore::http::tests
