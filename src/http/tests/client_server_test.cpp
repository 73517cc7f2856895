#include "http/tests/test_support.h"

#include <doctest/doctest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>

namespace snipeshore::http::tests {

namespace {

constexpr std::size_t mebibyte = 1U << 20U;

/// 256 MiB pass; what may remain in memory are the pieces in flight of two servers and one client.
constexpr std::int64_t max_growth_kib = 6144;

/// A third of what an entry may grow by with 20 downloads.
constexpr std::int64_t max_parallel_growth_kib = 21504;

server_settings loopback()
{
    server_settings settings;
    settings.address = "127.0.0.1:0";
    return settings;
}

/// Streams `left` bytes, one piece at a time.
struct byte_source {
    std::shared_ptr<exchange> to;
    std::size_t left;
    std::size_t* produced;

    void send_next()
    {
        if (left == 0) {
            to->finish();
            return;
        }
        const std::size_t size = std::min<std::size_t>(left, 65536);
        left -= size;
        *produced += size;
        to->write(std::string(size, 'x'));
    }
};

void stream_bytes(const std::shared_ptr<exchange>& to, std::size_t size, std::size_t& produced)
{
    auto source = std::make_shared<byte_source>(byte_source{to, size, &produced});
    to->on_writable([source] { source->send_next(); });
    response_head head;
    head.content_length = size;
    to->start_response(head);
    source->send_next();
}

} // namespace

TEST_CASE("a request and its response cross client and server")
{
    loop on;
    server serving(on, [](const std::shared_ptr<exchange>& from) {
        response_head head;
        head.status = 201;
        head.headers.push_back({"x-seen", from->head().path});
        from->respond(head, from->head().method + ":" + std::string(from->body()));
    });
    REQUIRE(base::is_ok(serving.listen(loopback())));
    client calling(on, {});

    SUBCASE("with a body")
    {
        client_request request = get(serving.bound_address(), "/a?b=c");
        request.head.method = "POST";
        request.body = "work";
        call_record seen;
        const auto call = record(calling, request, seen);
        CHECK_FALSE(seen.end);
        REQUIRE(run_until(on, [&] { return seen.end.has_value(); }));
        CHECK(base::is_ok(seen.end->outcome));
        CHECK(seen.end->request_sent);
        CHECK(seen.head->status == 201);
        CHECK(find_header(seen.head->headers, "x-seen") == "/a?b=c");
        CHECK(seen.body == "POST:work");
    }

    SUBCASE("the server's name shows no version")
    {
        call_record seen;
        const auto call = record(calling, get(serving.bound_address(), "/"), seen);
        REQUIRE(run_until(on, [&] { return seen.end.has_value(); }));
        CHECK(find_header(seen.head->headers, "server") == "snipeshore");
    }

    SUBCASE("HEAD has no body and leaves the connection usable")
    {
        for (int i = 0; i < 2; ++i) {
            client_request request = get(serving.bound_address(), "/");
            request.head.method = "HEAD";
            call_record seen;
            const auto call = record(calling, request, seen);
            REQUIRE(run_until(on, [&] { return seen.end.has_value(); }));
            CHECK(base::is_ok(seen.end->outcome));
            CHECK(seen.body.empty());
        }
        CHECK(serving.open_connections() == 1);
    }
}

TEST_CASE("a large response streams through a proxy in bounded memory")
{
    loop on;
    constexpr std::size_t size = 256 * mebibyte;
    std::size_t produced = 0;
    server target(
        on, [&](const std::shared_ptr<exchange>& from) { stream_bytes(from, size, produced); });
    REQUIRE(base::is_ok(target.listen(loopback())));
    client calling(on, {});
    server proxy(on, [&](const std::shared_ptr<exchange>& from) {
        forward(calling, target.bound_address(), from);
    });
    REQUIRE(base::is_ok(proxy.listen(loopback())));
    const std::int64_t before = resident_kib();
    std::int64_t peak = before;
    const int descriptor = connect_to(proxy.bound_address());
    write_all(descriptor, "GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");

    // While the caller reads nothing, the target has to stop.
    std::size_t last_produced = 0;
    int quiet_rounds = 0;
    REQUIRE(run_until(on, [&] {
        quiet_rounds = produced == last_produced && produced != 0 ? quiet_rounds + 1 : 0;
        last_produced = produced;
        return quiet_rounds == 50;
    }));
    CHECK(produced < 32 * mebibyte);

    std::atomic<std::size_t> received{0};
    std::atomic<bool> is_done{false};
    std::thread reader([&] {
        std::vector<char> piece(32768);
        ssize_t count = 0;
        while ((count = recv(descriptor, piece.data(), piece.size(), 0)) > 0) {
            received += static_cast<std::size_t>(count);
        }
        is_done = true;
    });
    const bool is_complete = run_until(on, [&] {
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
    // Small hosts carry many downloads at once, so each may hold only a few pieces.
    loop on;
    constexpr std::size_t size = 32 * mebibyte;
    constexpr std::size_t downloads = 20;
    std::size_t produced = 0;
    server target(
        on, [&](const std::shared_ptr<exchange>& from) { stream_bytes(from, size, produced); });
    REQUIRE(base::is_ok(target.listen(loopback())));
    client calling(on, {});
    server proxy(on, [&](const std::shared_ptr<exchange>& from) {
        forward(calling, target.bound_address(), from);
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
            std::array<char, 16384> piece{};
            ssize_t count = 0;
            while ((count = recv(descriptor, piece.data(), piece.size(), 0)) > 0) {
                received += static_cast<std::size_t>(count);
            }
            close(descriptor);
            ++done;
        });
    }
    CHECK(run_until(on, [&] {
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

TEST_CASE("a response that may be incomplete never ends well")
{
    loop on;
    client calling(on, {});
    struct row {
        const char* what;
        const char* bytes;
        bool is_valid;
    };
    const std::vector<row> rows = {
        {"content-length not reached", "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n12345", false},
        {"no body although announced", "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n", false},
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
        {"neither length nor chunks", "HTTP/1.1 200 OK\r\n\r\n12345", false},
        {"neither, from HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\n12345", false},
        {"both length and chunks",
         "HTTP/1.1 200 OK\r\ncontent-length: 5\r\ntransfer-encoding: "
         "chunked\r\n\r\n5\r\n12345\r\n0\r\n\r\n",
         false},
        {"two different lengths",
         "HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 4\r\n\r\n12345", false},
        {"negative length", "HTTP/1.1 200 OK\r\ncontent-length: -5\r\n\r\n12345", false},
        {"a length beyond all sizes",
         "HTTP/1.1 200 OK\r\ncontent-length: 99999999999999999999999\r\n\r\n12345", false},
        {"unknown transfer-encoding",
         "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n12345", false},
        {"closed within the head", "HTTP/1.1 200 OK\r\ncontent-le", false},
        {"no HTTP", "SSH-2.0-x\r\n\r\n", false},
        {"whole length", "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n12345", true},
        {"whole chunks",
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
        const auto call = record(calling, get(peer.address(), "/"), seen);
        REQUIRE(run_until(on, [&] { return seen.end.has_value(); }));
        CHECK(seen.end->request_sent);
        REQUIRE(base::is_ok(seen.end->outcome) == one.is_valid);
        if (!one.is_valid) {
            CHECK(base::error_of(seen.end->outcome).kind == base::error_kind::answer_invalid);
        }
    }
}

TEST_CASE("a head that h2o cannot take is refused on every way to send a request")
{
    // h2o's client aborts the process on such a head, so the check must be in place before it
    // reads.
    loop on;
    client calling(on, {});
    raw_server peer([](int descriptor) {
        read_until(descriptor, "\r\n\r\n");
        write_all(descriptor, "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx");
        read_until(descriptor, "end");
        write_all(descriptor, "HTTP/1.1 200 OK\r\ncontent-length: -1\r\n\r\nx");
    });
    call_record first;
    const auto opening = record(calling, get(peer.address(), "/"), first);
    REQUIRE(run_until(on, [&] { return first.end.has_value(); }));

    client_request request = get(peer.address(), "/");
    request.body = "end";
    call_record seen;
    std::unique_ptr<client_call> call;
    const auto send = [&] {
        call = record(calling, request, seen);
    };
    SUBCASE("directly")
    {
        send();
    }
    SUBCASE("from a timer")
    {
        on.schedule(base::boot_clock::now(), send);
    }
    SUBCASE("from posted work")
    {
        on.post(send);
    }
    SUBCASE("with a body that takes several writes")
    {
        request.body = std::string(16 * mebibyte, 'x') + "end";
        send();
    }
    REQUIRE(run_until(on, [&] { return seen.end.has_value(); }));
    CHECK(base::error_of(seen.end->outcome).kind == base::error_kind::answer_invalid);
    CHECK(peer.accepted() == 1);
}

TEST_CASE("a connection that closes before any response is the target's failure")
{
    loop on;
    client calling(on, {});
    raw_server peer([](int descriptor) { read_until(descriptor, "\r\n\r\n"); });
    call_record seen;
    const auto call = record(calling, get(peer.address(), "/"), seen);
    REQUIRE(run_until(on, [&] { return seen.end.has_value(); }));
    CHECK(base::error_of(seen.end->outcome).kind == base::error_kind::target_failed);
    CHECK(seen.end->request_sent);
}

TEST_CASE("no connection, nothing sent")
{
    loop on;
    client calling(on, {});
    std::string address;
    {
        const raw_server gone([](int) {});
        address = gone.address();
    }
    SUBCASE("refused") {}
    SUBCASE("not an address")
    {
        address = "localhost:1";
    }
    call_record seen;
    const auto call = record(calling, get(address, "/"), seen);
    CHECK_FALSE(seen.end);
    REQUIRE(run_until(on, [&] { return seen.end.has_value(); }));
    CHECK(base::error_of(seen.end->outcome).kind == base::error_kind::connect_failed);
    CHECK_FALSE(seen.end->request_sent);
    CHECK_FALSE(call->request_sent());
}

TEST_CASE("a head that would split the request is not sent")
{
    loop on;
    client calling(on, {});
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
    const auto call = record(calling, request, seen);
    REQUIRE(run_until(on, [&] { return seen.end.has_value(); }));
    CHECK(base::error_of(seen.end->outcome).kind == base::error_kind::bad_request);
    CHECK_FALSE(seen.end->request_sent);
}

TEST_CASE("cancelling a call reaches the peer")
{
    loop on;
    bool is_closed = false;
    std::shared_ptr<exchange> held;
    bool starts = false;
    SUBCASE("before the response") {}
    SUBCASE("within the response")
    {
        starts = true;
    }
    server serving(on, [&](const std::shared_ptr<exchange>& from) {
        held = from;
        from->on_closed([&] { is_closed = true; });
        if (starts) {
            from->start_response({});
            from->write("first");
        }
    });
    REQUIRE(base::is_ok(serving.listen(loopback())));
    client calling(on, {});
    call_record seen;
    auto call = record(calling, get(serving.bound_address(), "/"), seen);
    REQUIRE(run_until(on, [&] { return held && (!starts || !seen.body.empty()); }));
    call.reset();
    CHECK(run_until(on, [&] { return is_closed; }));
    CHECK_FALSE(seen.end);
    CHECK(run_until(on, [&] { return serving.open_connections() == 0; }));
    CHECK(serving.active_requests() == 0);
    // Calls on an exchange whose caller has gone have no effect.
    held->write("late");
    held->finish();
}

TEST_CASE("connections are kept and used again")
{
    loop on;
    server serving(on, [](const std::shared_ptr<exchange>& from) { from->respond({}, "x"); });
    REQUIRE(base::is_ok(serving.listen(loopback())));
    client calling(on, {});
    for (int i = 0; i < 3; ++i) {
        call_record seen;
        const auto call = record(calling, get(serving.bound_address(), "/"), seen);
        REQUIRE(run_until(on, [&] { return seen.end.has_value(); }));
        CHECK(base::is_ok(seen.end->outcome));
    }
    CHECK(serving.open_connections() == 1);
}

TEST_CASE("a kept connection that the peer closed is replaced")
{
    loop on;
    client calling(on, {});
    raw_server peer([](int descriptor) {
        read_until(descriptor, "\r\n\r\n");
        write_all(descriptor, "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx");
    });
    for (int i = 0; i < 2; ++i) {
        call_record seen;
        const auto call = record(calling, get(peer.address(), "/"), seen);
        REQUIRE(run_until(on, [&] { return seen.end.has_value(); }));
        CHECK(base::is_ok(seen.end->outcome));
        // A request that crosses the close would fail with any client.
        REQUIRE(run_until(on, [&] { return peer.closed() == i + 1; }));
    }
    CHECK(peer.accepted() == 2);
}

TEST_CASE("bytes after a response are not read as the next one")
{
    loop on;
    client calling(on, {});
    std::string first;
    client_request request = get("", "/");
    SUBCASE("after a body")
    {
        first = "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx";
    }
    SUBCASE("after a head without body")
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
        const auto call = record(calling, request, seen);
        REQUIRE(run_until(on, [&] { return seen.end.has_value(); }));
        CHECK(seen.body != "forged");
    }
}

TEST_CASE("a deadline ends the call")
{
    loop on;
    bool is_closed = false;
    std::vector<std::shared_ptr<exchange>> held;
    bool starts = false;
    server serving(on, [&](const std::shared_ptr<exchange>& from) {
        held.push_back(from);
        from->on_closed([&] { is_closed = true; });
        if (starts) {
            from->start_response({});
            from->write("first");
        }
    });
    REQUIRE(base::is_ok(serving.listen(loopback())));
    client_settings settings;
    settings.max_connections_per_address = 1;
    client calling(on, settings);
    client_request request = get(serving.bound_address(), "/");
    request.deadline = in(std::chrono::milliseconds(50));

    SUBCASE("before the head") {}
    SUBCASE("within the body")
    {
        starts = true;
    }
    call_record running;
    call_record queued;
    const auto first = record(calling, request, running);
    request.deadline = in(std::chrono::milliseconds(20));
    const auto second = record(calling, request, queued);
    REQUIRE(run_until(on, [&] { return running.end && queued.end; }));
    CHECK(base::error_of(running.end->outcome).kind == base::error_kind::deadline_exceeded);
    CHECK(running.end->request_sent);
    CHECK(base::error_of(queued.end->outcome).kind == base::error_kind::deadline_not_run);
    CHECK_FALSE(queued.end->request_sent);
    CHECK(run_until(on, [&] { return is_closed; }));
    CHECK(held.size() == 1);
}

TEST_CASE("connections and the queue for them are bounded")
{
    loop on;
    std::vector<std::shared_ptr<exchange>> held;
    server serving(on, [&](const std::shared_ptr<exchange>& from) { held.push_back(from); });
    REQUIRE(base::is_ok(serving.listen(loopback())));
    client_settings settings;
    settings.max_connections_per_address = 2;
    settings.max_queued_per_address = 1;
    client calling(on, settings);
    std::vector<call_record> seen(4);
    std::vector<std::unique_ptr<client_call>> calls;
    for (call_record& one : seen) {
        calls.push_back(record(calling, get(serving.bound_address(), "/"), one));
    }
    REQUIRE(run_until(on, [&] { return held.size() == 2 && seen[3].end; }));
    CHECK(base::error_of(seen[3].end->outcome).kind == base::error_kind::overloaded);
    CHECK_FALSE(seen[3].end->request_sent);
    held[0]->respond({}, "done");
    REQUIRE(run_until(on, [&] { return held.size() == 3; }));
    held[1]->respond({}, "done");
    held[2]->respond({}, "done");
    REQUIRE(run_until(on, [&] { return seen[0].end && seen[1].end && seen[2].end; }));
    CHECK(base::is_ok(seen[2].end->outcome));
    CHECK(serving.open_connections() == 2);
}

TEST_CASE("objects survive callbacks that destroy them")
{
    loop on;
    std::size_t produced = 0;
    server serving(
        on, [&](const std::shared_ptr<exchange>& from) { stream_bytes(from, mebibyte, produced); });
    REQUIRE(base::is_ok(serving.listen(loopback())));
    auto calling = std::make_unique<client>(on, client_settings{});
    std::unique_ptr<client_call> call;
    bool is_done = false;
    const auto destroy_call = [&] {
        call.reset();
        is_done = true;
    };
    const auto destroy_client = [&] {
        calling.reset();
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
    call = calling->send(get(serving.bound_address(), "/"), callbacks);
    CHECK(run_until(on, [&] { return is_done; }));
    call.reset();
    CHECK(run_until(on, [&] { return serving.active_requests() == 0; }));
}

TEST_CASE("a fetch collects a bounded body")
{
    loop on;
    server serving(on, [](const std::shared_ptr<exchange>& from) { from->respond({}, "12345"); });
    REQUIRE(base::is_ok(serving.listen(loopback())));
    client calling(on, {});
    std::optional<base::result<std::pair<response_head, std::string>>> seen;
    const auto keep = [&](base::result<std::pair<response_head, std::string>> outcome, bool) {
        seen = std::move(outcome);
    };
    SUBCASE("within the bound")
    {
        const auto call = calling.fetch(get(serving.bound_address(), "/"), 5, keep);
        REQUIRE(run_until(on, [&] { return seen.has_value(); }));
        CHECK(base::value_of(*seen).second == "12345");
    }
    SUBCASE("over the bound")
    {
        const auto call = calling.fetch(get(serving.bound_address(), "/"), 4, keep);
        REQUIRE(run_until(on, [&] { return seen.has_value(); }));
        CHECK(base::error_of(*seen).kind == base::error_kind::answer_invalid);
    }
}

TEST_CASE("a response head of any size does not fill the memory")
{
    loop on;
    client calling(on, {});
    raw_server peer([](int descriptor) {
        read_until(descriptor, "\r\n\r\n");
        const std::string piece(65536, 'x');
        write_all(descriptor, "HTTP/1.1 200 OK\r\nx: ");
        for (int i = 0; i < 4096; ++i) {
            write_all(descriptor, piece);
        }
    });
    const std::int64_t before = resident_kib();
    call_record seen;
    const auto call = record(calling, get(peer.address(), "/"), seen);
    REQUIRE(run_until(on, [&] { return seen.end.has_value(); }));
    CHECK(base::error_of(seen.end->outcome).kind == base::error_kind::answer_invalid);
    CHECK((!measures_memory || resident_kib() - before < 16384));
}

TEST_CASE("other threads post work to the loop")
{
    loop on;
    int done = 0;
    std::thread poster([&] {
        for (int i = 0; i < 1000; ++i) {
            on.post([&] {
                if (++done == 1000) {
                    on.stop();
                }
            });
        }
    });
    on.run();
    poster.join();
    CHECK(done == 1000);
}

TEST_CASE("timers run in the order of their deadlines and can be cancelled")
{
    loop on;
    std::string order;
    const auto now = base::boot_clock::now();
    on.schedule(now + std::chrono::milliseconds(20), [&] { order += "b"; });
    const timer_id unwanted = on.schedule(now, [&] { order += "x"; });
    on.schedule(now + std::chrono::milliseconds(10), [&] { order += "a"; });
    on.schedule(now + std::chrono::milliseconds(30), [&] { on.stop(); });
    on.cancel(unwanted);
    on.run();
    CHECK(order == "ab");
}

} // namespace snipeshore::http::tests
