#include "http/tests/test_support.h"

#include <doctest/doctest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <future>

namespace snipeshore::http::tests {

namespace {

constexpr std::size_t mebibyte = 1U << 20U;

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

    void send_next()
    {
        if (left == 0) {
            to->finish();
            return;
        }
        const std::size_t size = std::min<std::size_t>(left, 65536);
        left -= size;
        to->write(std::string(size, 'x'));
    }
};

void stream_bytes(const std::shared_ptr<exchange>& to, std::size_t size)
{
    auto source = std::make_shared<byte_source>(byte_source{to, size});
    to->on_writable([source] { source->send_next(); });
    response_head head;
    head.content_length = size;
    to->start_answer(head);
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
        from->answer(head, from->head().method + ":" + std::string(from->body()));
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
    server target(on, [](const std::shared_ptr<exchange>& from) { stream_bytes(from, size); });
    REQUIRE(base::is_ok(target.listen(loopback())));
    client calling(on, {});
    server proxy(on, [&](const std::shared_ptr<exchange>& from) {
        forward(calling, target.bound_address(), from);
    });
    REQUIRE(base::is_ok(proxy.listen(loopback())));

    const std::size_t before = resident_kib();
    std::size_t peak = before;
    const int descriptor = connect_to(proxy.bound_address());
    write_all(descriptor, "GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    std::atomic<std::size_t> received{0};
    std::atomic<bool> is_done{false};
    // The reader takes a small piece at a time, so both servers have to wait for it.
    std::thread reader([&] {
        std::vector<char> piece(32768);
        ssize_t count = 0;
        while ((count = recv(descriptor, piece.data(), piece.size(), 0)) > 0) {
            received += static_cast<std::size_t>(count);
        }
        is_done = true;
    });
    // First the reader waits: what is in flight must stop growing.
    const bool is_complete = run_until(on, [&] {
        peak = std::max(peak, resident_kib());
        return is_done.load();
    });
    reader.join();
    close(descriptor);
    CHECK(is_complete);
    CHECK(received > size);
    CHECK(peak - before < 8 * 1024);
    MESSAGE("growth of resident memory: " << peak - before << " KiB");
}

} // namespace snipeshore::http::tests
