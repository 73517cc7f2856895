#include "http/tests/test_support.h"

#include <doctest/doctest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>

namespace snipeshore::http::tests {

namespace {

constexpr std::size_t mebibyte = 1U << 20U;

/// For a response of 256 MiB: only the chunks in flight of two servers and one client may be in
/// memory.
constexpr std::int64_t max_growth_kib = 6144;

/// A third of the growth allowed for an entry process with 20 downloads.
constexpr std::int64_t max_parallel_growth_kib = 21504;

/// Streams `left` bytes, one chunk at a time.
struct byte_source {
    std::shared_ptr<exchange> to;
    std::size_t left;
    std::size_t* written;

    void send_next()
    {
        if (left == 0) {
            to->finish();
            return;
        }
        const std::size_t size = std::min<std::size_t>(left, 65536);
        left -= size;
        *written += size;
        to->write(std::string(size, 'x'));
    }
};

void stream_bytes(const std::shared_ptr<exchange>& to, std::size_t size, std::size_t& written)
{
    auto source = std::make_shared<byte_source>(byte_source{to, size, &written});
    to->on_writable([source] { source->send_next(); });
    response_head head;
    head.content_length = size;
    to->start_response(head);
    source->send_next();
}

} // namespace

TEST_CASE("a request and its response pass between client and server")
{
    loop event_loop;
    server http_server(event_loop, [](const std::shared_ptr<exchange>& from) {
        response_head head;
        head.status = 201;
        head.headers.push_back({"x-seen", from->head().path});
        from->respond(head, from->head().method + ":" + std::string(from->body()));
    });
    REQUIRE(base::is_ok(http_server.listen(loopback())));
    client http_client(event_loop, {});

    SUBCASE("with a body")
    {
        client_request request = get(http_server.bound_address(), "/a?b=c");
        request.head.method = "POST";
        request.body = "work";
        call_record seen;
        const auto call = record(http_client, request, seen);
        CHECK_FALSE(seen.end);
        REQUIRE(run_until(event_loop, [&] { return seen.end.has_value(); }));
        CHECK(base::is_ok(seen.end->outcome));
        CHECK(seen.end->request_sent);
        CHECK(seen.head->status == 201);
        CHECK(find_header(seen.head->headers, "x-seen") == "/a?b=c");
        CHECK(seen.body == "POST:work");
    }

    SUBCASE("the server header has no version")
    {
        call_record seen;
        const auto call = record(http_client, get(http_server.bound_address(), "/"), seen);
        REQUIRE(run_until(event_loop, [&] { return seen.end.has_value(); }));
        CHECK(find_header(seen.head->headers, "server") == "snipeshore");
    }

    SUBCASE("HEAD has no body and leaves the connection usable")
    {
        for (int i = 0; i < 2; ++i) {
            client_request request = get(http_server.bound_address(), "/");
            request.head.method = "HEAD";
            call_record seen;
            const auto call = record(http_client, request, seen);
            REQUIRE(run_until(event_loop, [&] { return seen.end.has_value(); }));
            CHECK(base::is_ok(seen.end->outcome));
            CHECK(seen.body.empty());
        }
        CHECK(http_server.open_connections() == 1);
    }
}

TEST_CASE("a large response streams through a proxy in bounded memory")
{
    loop event_loop;
    constexpr std::size_t size = 256 * mebibyte;
    std::size_t written = 0;
    server target(event_loop, [&](const std::shared_ptr<exchange>& from) {
        stream_bytes(from, size, written);
    });
    REQUIRE(base::is_ok(target.listen(loopback())));
    client http_client(event_loop, {});
    server proxy(event_loop, [&](const std::shared_ptr<exchange>& from) {
        forward(http_client, target.bound_address(), from);
    });
    REQUIRE(base::is_ok(proxy.listen(loopback())));
    const std::int64_t before = resident_kib();
    std::int64_t peak = before;
    const int descriptor = connect_to(proxy.bound_address());
    write_all(descriptor, "GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");

    // While the caller does not read, the target has to stop sending.
    std::size_t last_written = 0;
    int quiet_rounds = 0;
    REQUIRE(run_until(event_loop, [&] {
        quiet_rounds = written == last_written && written != 0 ? quiet_rounds + 1 : 0;
        last_written = written;
        return quiet_rounds == 50;
    }));
    CHECK(written < 32 * mebibyte);

    std::atomic<std::size_t> received{0};
    std::atomic<bool> is_done{false};
    std::thread reader([&] {
        std::vector<char> chunk(32768);
        ssize_t count = 0;
        while ((count = recv(descriptor, chunk.data(), chunk.size(), 0)) > 0) {
            received += static_cast<std::size_t>(count);
        }
        is_done = true;
    });
    const bool is_complete = run_until(event_loop, [&] {
        peak = std::max(peak, resident_kib());
        return is_done.load();
    });
    reader.join();
    close(descriptor);
    CHECK(is_complete);
    CHECK(received > size);
    MESSAGE("growth of resident memory: " << peak - before << " KiB");
    CHECK((!measures_memory || peak - before < max_growth_kib));
}

TEST_CASE("parallel downloads through a proxy stay in bounded memory")
{
    // Small hosts serve many downloads at the same time, so each may buffer only a few chunks.
    loop event_loop;
    constexpr std::size_t size = 32 * mebibyte;
    constexpr std::size_t downloads = 20;
    std::size_t written = 0;
    server target(event_loop, [&](const std::shared_ptr<exchange>& from) {
        stream_bytes(from, size, written);
    });
    REQUIRE(base::is_ok(target.listen(loopback())));
    client http_client(event_loop, {});
    server proxy(event_loop, [&](const std::shared_ptr<exchange>& from) {
        forward(http_client, target.bound_address(), from);
    });
    REQUIRE(base::is_ok(proxy.listen(loopback())));
    const std::int64_t before = resident_kib();
    std::int64_t peak = before;
    std::atomic<std::size_t> received{0};
    std::atomic<std::size_t> done{0};
    std::vector<std::thread> readers;
    for (std::size_t i = 0; i < downloads; ++i) {
        readers.emplace_back([&] {
            const int descriptor = connect_to(proxy.bound_address());
            write_all(descriptor, "GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
            std::array<char, 16384> chunk{};
            ssize_t count = 0;
            while ((count = recv(descriptor, chunk.data(), chunk.size(), 0)) > 0) {
                received += static_cast<std::size_t>(count);
            }
            close(descriptor);
            ++done;
        });
    }
    CHECK(run_until(event_loop, [&] {
        peak = std::max(peak, resident_kib());
        return done == downloads;
    }));
    for (std::thread& one : readers) {
        one.join();
    }
    CHECK(received > downloads * size);
    MESSAGE("growth of resident memory: " << peak - before << " KiB");
    CHECK((!measures_memory || peak - before < max_parallel_growth_kib));
}

TEST_CASE("a response that may be incomplete is an error")
{
    loop event_loop;
    client http_client(event_loop, {});
    struct row {
        const char* what;
        const char* bytes;
        bool is_valid;
    };
    const std::vector<row> rows = {
        {"content-length not reached", "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n12345", false},
        {"announced body is missing", "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n", false},
        {"closed between two chunks",
         "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n12345\r\n", false},
        {"closed before the first chunk", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
         false},
        {"closed within a chunk", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n123",
         false},
        {"closed within the last chunk",
         "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\n", false},
        {"malformed chunk size",
         "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n12345\r\n0\r\n\r\n", false},
        {"neither length nor chunked encoding", "HTTP/1.1 200 OK\r\n\r\n12345", false},
        {"neither, over HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\n12345", false},
        {"both length and chunked encoding",
         "HTTP/1.1 200 OK\r\ncontent-length: 5\r\ntransfer-encoding: "
         "chunked\r\n\r\n5\r\n12345\r\n0\r\n\r\n",
         false},
        {"two different lengths",
         "HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 4\r\n\r\n12345", false},
        {"negative length", "HTTP/1.1 200 OK\r\ncontent-length: -5\r\n\r\n12345", false},
        {"length exceeds 64 bits",
         "HTTP/1.1 200 OK\r\ncontent-length: 99999999999999999999999\r\n\r\n12345", false},
        {"unknown transfer-encoding",
         "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n12345", false},
        {"closed within the head", "HTTP/1.1 200 OK\r\ncontent-le", false},
        {"not HTTP", "SSH-2.0-x\r\n\r\n", false},
        {"complete body with a length", "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n12345", true},
        {"complete chunked body",
         "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\n\r\n", true},
        {"empty body", "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", true},
        {"no content", "HTTP/1.1 204 No Content\r\n\r\n", true},
        {"not modified", "HTTP/1.1 304 Not Modified\r\ncontent-length: 5\r\n\r\n", true},
        {"after an informational head",
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n12345", true},
    };
    for (const row& one : rows) {
        CAPTURE(one.what);
        raw_server peer([&](int descriptor) {
            read_until(descriptor, "\r\n\r\n");
            write_all(descriptor, one.bytes);
        });
        call_record seen;
        const auto call = record(http_client, get(peer.address(), "/"), seen);
        REQUIRE(run_until(event_loop, [&] { return seen.end.has_value(); }));
        CHECK(seen.end->request_sent);
        REQUIRE(base::is_ok(seen.end->outcome) == one.is_valid);
        if (!one.is_valid) {
            CHECK(base::error_of(seen.end->outcome).kind == base::error_kind::answer_invalid);
        }
    }
}

TEST_CASE("a response head that h2o does not support is rejected however the request was sent")
{
    // h2o's client aborts the process on such a head, so the check must be installed before h2o
    // reads.
    loop event_loop;
    client http_client(event_loop, {});
    raw_server peer([](int descriptor) {
        read_until(descriptor, "\r\n\r\n");
        write_all(descriptor, "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx");
        read_until(descriptor, "end");
        write_all(descriptor, "HTTP/1.1 200 OK\r\ncontent-length: -1\r\n\r\nx");
    });
    call_record first;
    const auto first_call = record(http_client, get(peer.address(), "/"), first);
    REQUIRE(run_until(event_loop, [&] { return first.end.has_value(); }));

    client_request request = get(peer.address(), "/");
    request.body = "end";
    call_record seen;
    std::unique_ptr<client_call> call;
    const auto send = [&] {
        call = record(http_client, request, seen);
    };
    SUBCASE("directly")
    {
        send();
    }
    SUBCASE("from a timer")
    {
        event_loop.schedule(base::boot_clock::now(), send);
    }
    SUBCASE("from posted work")
    {
        event_loop.post(send);
    }
    SUBCASE("with a body that needs several writes")
    {
        request.body = std::string(16 * mebibyte, 'x') + "end";
        send();
    }
    REQUIRE(run_until(event_loop, [&] { return seen.end.has_value(); }));
    CHECK(base::error_of(seen.end->outcome).kind == base::error_kind::answer_invalid);
    CHECK(peer.accepted() == 1);
}

TEST_CASE("a connection that closes before any response is reported as target_failed")
{
    loop event_loop;
    client http_client(event_loop, {});
    raw_server peer([](int descriptor) { read_until(descriptor, "\r\n\r\n"); });
    call_record seen;
    const auto call = record(http_client, get(peer.address(), "/"), seen);
    REQUIRE(run_until(event_loop, [&] { return seen.end.has_value(); }));
    CHECK(base::error_of(seen.end->outcome).kind == base::error_kind::target_failed);
    CHECK(seen.end->request_sent);
}

TEST_CASE("a failed connection attempt sends nothing")
{
    loop event_loop;
    client http_client(event_loop, {});
    std::string address;
    {
        const raw_server stopped([](int) {});
        address = stopped.address();
    }
    SUBCASE("connection refused") {}
    SUBCASE("invalid address")
    {
        address = "localhost:1";
    }
    call_record seen;
    const auto call = record(http_client, get(address, "/"), seen);
    CHECK_FALSE(seen.end);
    REQUIRE(run_until(event_loop, [&] { return seen.end.has_value(); }));
    CHECK(base::error_of(seen.end->outcome).kind == base::error_kind::connect_failed);
    CHECK_FALSE(seen.end->request_sent);
    CHECK_FALSE(call->request_sent());
}

TEST_CASE("a head that would cause request splitting is not sent")
{
    loop event_loop;
    client http_client(event_loop, {});
    client_request request = get("127.0.0.1:1", "/");
    SUBCASE("in the path")
    {
        request.head.path = "/ HTTP/1.1\r\nx: y";
    }
    SUBCASE("in a header")
    {
        request.head.headers.push_back({"x", "a\r\ny: z"});
    }
    call_record seen;
    const auto call = record(http_client, request, seen);
    REQUIRE(run_until(event_loop, [&] { return seen.end.has_value(); }));
    CHECK(base::error_of(seen.end->outcome).kind == base::error_kind::bad_request);
    CHECK_FALSE(seen.end->request_sent);
}

TEST_CASE("cancelling a call closes the connection to the peer")
{
    loop event_loop;
    bool is_closed = false;
    std::shared_ptr<exchange> held;
    bool starts = false;
    SUBCASE("before the response") {}
    SUBCASE("within the response")
    {
        starts = true;
    }
    server http_server(event_loop, [&](const std::shared_ptr<exchange>& from) {
        held = from;
        from->on_closed([&] { is_closed = true; });
        if (starts) {
            from->start_response({});
            from->write("first");
        }
    });
    REQUIRE(base::is_ok(http_server.listen(loopback())));
    client http_client(event_loop, {});
    call_record seen;
    auto call = record(http_client, get(http_server.bound_address(), "/"), seen);
    REQUIRE(run_until(event_loop, [&] { return held && (!starts || !seen.body.empty()); }));
    call.reset();
    CHECK(run_until(event_loop, [&] { return is_closed; }));
    CHECK_FALSE(seen.end);
    CHECK(run_until(event_loop, [&] { return http_server.open_connections() == 0; }));
    CHECK(http_server.active_requests() == 0);
    // Functions of an exchange have no effect after the caller has disconnected.
    held->write("late");
    held->finish();
}

TEST_CASE("connections are kept alive and reused")
{
    loop event_loop;
    server http_server(event_loop,
                       [](const std::shared_ptr<exchange>& from) { from->respond({}, "x"); });
    REQUIRE(base::is_ok(http_server.listen(loopback())));
    client http_client(event_loop, {});
    for (int i = 0; i < 3; ++i) {
        call_record seen;
        const auto call = record(http_client, get(http_server.bound_address(), "/"), seen);
        REQUIRE(run_until(event_loop, [&] { return seen.end.has_value(); }));
        CHECK(base::is_ok(seen.end->outcome));
    }
    CHECK(http_server.open_connections() == 1);
}

TEST_CASE("an idle connection that the peer has closed is replaced")
{
    loop event_loop;
    client http_client(event_loop, {});
    raw_server peer([](int descriptor) {
        read_until(descriptor, "\r\n\r\n");
        write_all(descriptor, "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx");
    });
    for (int i = 0; i < 2; ++i) {
        call_record seen;
        const auto call = record(http_client, get(peer.address(), "/"), seen);
        REQUIRE(run_until(event_loop, [&] { return seen.end.has_value(); }));
        CHECK(base::is_ok(seen.end->outcome));
        // Waits for the close, as a request sent while the peer closes would fail with any client.
        REQUIRE(run_until(event_loop, [&] { return peer.closed() == i + 1; }));
    }
    CHECK(peer.accepted() == 2);
}

TEST_CASE("bytes after a response are not read as the next response")
{
    loop event_loop;
    client http_client(event_loop, {});
    std::string first;
    client_request request = get("", "/");
    SUBCASE("after a body")
    {
        first = "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx";
    }
    SUBCASE("after a head without a body")
    {
        first = "HTTP/1.1 204 No Content\r\n\r\n";
    }
    raw_server peer([&](int descriptor) {
        while (!read_until(descriptor, "\r\n\r\n").empty()) {
            write_all(descriptor, first + "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nforged");
        }
    });
    request.address = peer.address();
    for (int i = 0; i < 2; ++i) {
        call_record seen;
        const auto call = record(http_client, request, seen);
        REQUIRE(run_until(event_loop, [&] { return seen.end.has_value(); }));
        CHECK(seen.body != "forged");
    }
}

TEST_CASE("a deadline ends the call")
{
    loop event_loop;
    bool is_closed = false;
    std::vector<std::shared_ptr<exchange>> held;
    bool starts = false;
    server http_server(event_loop, [&](const std::shared_ptr<exchange>& from) {
        held.push_back(from);
        from->on_closed([&] { is_closed = true; });
        if (starts) {
            from->start_response({});
            from->write("first");
        }
    });
    REQUIRE(base::is_ok(http_server.listen(loopback())));
    client_settings settings;
    settings.max_connections_per_address = 1;
    client http_client(event_loop, settings);
    client_request request = get(http_server.bound_address(), "/");
    request.deadline = from_now(std::chrono::milliseconds(50));

    SUBCASE("before the head") {}
    SUBCASE("within the body")
    {
        starts = true;
    }
    call_record running;
    call_record queued;
    const auto first = record(http_client, request, running);
    request.deadline = from_now(std::chrono::milliseconds(20));
    const auto second = record(http_client, request, queued);
    REQUIRE(run_until(event_loop, [&] { return running.end && queued.end; }));
    CHECK(base::error_of(running.end->outcome).kind == base::error_kind::deadline_exceeded);
    CHECK(running.end->request_sent);
    CHECK(base::error_of(queued.end->outcome).kind == base::error_kind::deadline_not_run);
    CHECK_FALSE(queued.end->request_sent);
    CHECK(run_until(event_loop, [&] { return is_closed; }));
    CHECK(held.size() == 1);
}

TEST_CASE("connections and the request queue are limited")
{
    loop event_loop;
    std::vector<std::shared_ptr<exchange>> held;
    server http_server(event_loop,
                       [&](const std::shared_ptr<exchange>& from) { held.push_back(from); });
    REQUIRE(base::is_ok(http_server.listen(loopback())));
    client_settings settings;
    settings.max_connections_per_address = 2;
    settings.max_queued_per_address = 1;
    client http_client(event_loop, settings);
    std::vector<call_record> seen(4);
    std::vector<std::unique_ptr<client_call>> calls;
    for (call_record& one : seen) {
        calls.push_back(record(http_client, get(http_server.bound_address(), "/"), one));
    }
    REQUIRE(run_until(event_loop, [&] { return held.size() == 2 && seen[3].end; }));
    CHECK(base::error_of(seen[3].end->outcome).kind == base::error_kind::overloaded);
    CHECK_FALSE(seen[3].end->request_sent);
    held[0]->respond({}, "done");
    REQUIRE(run_until(event_loop, [&] { return held.size() == 3; }));
    held[1]->respond({}, "done");
    held[2]->respond({}, "done");
    REQUIRE(run_until(event_loop, [&] { return seen[0].end && seen[1].end && seen[2].end; }));
    CHECK(base::is_ok(seen[2].end->outcome));
    CHECK(http_server.open_connections() == 2);
}

TEST_CASE("callbacks may destroy the call and the client")
{
    loop event_loop;
    std::size_t written = 0;
    server http_server(event_loop, [&](const std::shared_ptr<exchange>& from) {
        stream_bytes(from, mebibyte, written);
    });
    REQUIRE(base::is_ok(http_server.listen(loopback())));
    auto http_client = std::make_unique<client>(event_loop, client_settings{});
    std::unique_ptr<client_call> call;
    bool is_done = false;
    const auto destroy_call = [&] {
        call.reset();
        is_done = true;
    };
    const auto destroy_client = [&] {
        http_client.reset();
        is_done = true;
    };
    call_callbacks callbacks;
    SUBCASE("the call in on_head")
    {
        callbacks.on_head = [&](const response_head&) {
            destroy_call();
        };
    }
    SUBCASE("the call in on_body")
    {
        callbacks.on_body = [&](std::string_view) {
            destroy_call();
        };
    }
    SUBCASE("the call in on_end")
    {
        callbacks.on_end = [&](const call_end&) {
            destroy_call();
        };
    }
    SUBCASE("the client in on_head")
    {
        callbacks.on_head = [&](const response_head&) {
            destroy_client();
        };
    }
    SUBCASE("the client in on_body")
    {
        callbacks.on_body = [&](std::string_view) {
            destroy_client();
        };
    }
    SUBCASE("the client in on_end")
    {
        callbacks.on_end = [&](const call_end&) {
            destroy_client();
        };
    }
    call = http_client->send(get(http_server.bound_address(), "/"), callbacks);
    CHECK(run_until(event_loop, [&] { return is_done; }));
    call.reset();
    CHECK(run_until(event_loop, [&] { return http_server.active_requests() == 0; }));
}

TEST_CASE("a fetch limits the size of the body")
{
    loop event_loop;
    server http_server(event_loop,
                       [](const std::shared_ptr<exchange>& from) { from->respond({}, "12345"); });
    REQUIRE(base::is_ok(http_server.listen(loopback())));
    client http_client(event_loop, {});
    std::optional<base::result<std::pair<response_head, std::string>>> seen;
    const auto keep = [&](base::result<std::pair<response_head, std::string>> outcome, bool) {
        seen = std::move(outcome);
    };
    SUBCASE("within the limit")
    {
        const auto call = http_client.fetch(get(http_server.bound_address(), "/"), 5, keep);
        REQUIRE(run_until(event_loop, [&] { return seen.has_value(); }));
        CHECK(base::value_of(*seen).second == "12345");
    }
    SUBCASE("over the limit")
    {
        const auto call = http_client.fetch(get(http_server.bound_address(), "/"), 4, keep);
        REQUIRE(run_until(event_loop, [&] { return seen.has_value(); }));
        CHECK(base::error_of(*seen).kind == base::error_kind::answer_invalid);
    }
}

TEST_CASE("a large response head does not exhaust memory")
{
    loop event_loop;
    client http_client(event_loop, {});
    raw_server peer([](int descriptor) {
        read_until(descriptor, "\r\n\r\n");
        const std::string chunk(65536, 'x');
        write_all(descriptor, "HTTP/1.1 200 OK\r\nx: ");
        for (int i = 0; i < 4096; ++i) {
            write_all(descriptor, chunk);
        }
    });
    const std::int64_t before = resident_kib();
    call_record seen;
    const auto call = record(http_client, get(peer.address(), "/"), seen);
    REQUIRE(run_until(event_loop, [&] { return seen.end.has_value(); }));
    CHECK(base::error_of(seen.end->outcome).kind == base::error_kind::answer_invalid);
    CHECK((!measures_memory || resident_kib() - before < 16384));
}

TEST_CASE("other threads can post work to the loop")
{
    loop event_loop;
    int done = 0;
    std::thread poster([&] {
        for (int i = 0; i < 1000; ++i) {
            event_loop.post([&] {
                if (++done == 1000) {
                    event_loop.stop();
                }
            });
        }
    });
    event_loop.run();
    poster.join();
    CHECK(done == 1000);
}

TEST_CASE("timers run in the order of their deadlines and can be cancelled")
{
    loop event_loop;
    std::string order;
    const auto now = base::boot_clock::now();
    event_loop.schedule(now + std::chrono::milliseconds(20), [&] { order += "b"; });
    const timer_id unwanted = event_loop.schedule(now, [&] { order += "x"; });
    event_loop.schedule(now + std::chrono::milliseconds(10), [&] { order += "a"; });
    event_loop.schedule(now + std::chrono::milliseconds(30), [&] { event_loop.stop(); });
    event_loop.cancel(unwanted);
    event_loop.run();
    CHECK(order == "ab");
}

// Guards against requests that are written after their caller has left or with a deadline of the
// past: they may have waited for a connection.
TEST_CASE("a request is checked and updated when its connection is there")
{
    loop event_loop;
    std::vector<std::string> paths;
    std::vector<std::shared_ptr<exchange>> held;
    server target(event_loop, [&](const std::shared_ptr<exchange>& request) {
        paths.push_back(request->head().path);
        held.push_back(request);
    });
    REQUIRE(base::is_ok(target.listen(loopback())));
    client_settings settings;
    settings.max_connections_per_address = 1;
    client http_client(event_loop, settings);
    call_record first;
    call_record unwanted;
    call_record last;
    bool is_wanted = true;
    const auto first_call = record(http_client, get(target.bound_address(), "/first"), first);
    client_request request = get(target.bound_address(), "/unwanted");
    request.before_write = [&](request_head&) {
        return is_wanted;
    };
    const auto unwanted_call = record(http_client, std::move(request), unwanted);
    request = get(target.bound_address(), "/old");
    request.before_write = [](request_head& head) {
        head.path = "/new";
        return true;
    };
    const auto last_call = record(http_client, std::move(request), last);
    REQUIRE(run_until(event_loop, [&] { return held.size() == 1; }));
    is_wanted = false;
    held.front()->respond({}, "");

    REQUIRE(run_until(event_loop, [&] { return unwanted.end.has_value() && held.size() == 2; }));
    REQUIRE_FALSE(base::is_ok(unwanted.end->outcome));
    CHECK(base::error_of(unwanted.end->outcome).kind == base::error_kind::cancelled);
    CHECK_FALSE(unwanted.end->request_sent);
    held.back()->respond({}, "");
    REQUIRE(run_until(event_loop, [&] { return last.end.has_value(); }));
    CHECK(base::is_ok(last.end->outcome));
    CHECK(paths == std::vector<std::string>{"/first", "/new"});
}

// Guards against large responses that are cut and requested again on a slow link.
TEST_CASE("a response whose head is in time may take until the deadline")
{
    loop event_loop;
    std::shared_ptr<exchange> held;
    server target(event_loop, [&](const std::shared_ptr<exchange>& request) { held = request; });
    REQUIRE(base::is_ok(target.listen(loopback())));
    client http_client(event_loop, {});
    call_record got;
    client_request request = get(target.bound_address(), "/");
    request.head_deadline = from_now(std::chrono::milliseconds(200));
    const base::time_point head_deadline = *request.head_deadline;
    const auto call = record(http_client, std::move(request), got);
    REQUIRE(run_until(event_loop, [&] { return held != nullptr; }));
    SUBCASE("in time")
    {
        response_head head;
        head.content_length = 4;
        held->start_response(head);
        held->write("ab");
        REQUIRE(run_until(event_loop, [&] { return got.body == "ab"; }));
        REQUIRE(run_until(event_loop, [&] { return base::boot_clock::now() > head_deadline; }));
        held->write("cd");
        held->finish();
        REQUIRE(run_until(event_loop, [&] { return got.end.has_value(); }));
        CHECK(base::is_ok(got.end->outcome));
        CHECK(got.body == "abcd");
    }
    SUBCASE("too late")
    {
        REQUIRE(run_until(event_loop, [&] { return got.end.has_value(); }));
        REQUIRE_FALSE(base::is_ok(got.end->outcome));
        CHECK(base::error_of(got.end->outcome).kind == base::error_kind::deadline_exceeded);
    }
}

} // namespace snipeshore::http::tests
