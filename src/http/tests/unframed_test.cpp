#include "http/tests/test_support.h"

#include <doctest/doctest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <thread>

namespace snipeshore::http::tests {

namespace {

client_settings taking_unframed()
{
    client_settings settings;
    settings.accepts_close_delimited = true;
    return settings;
}

} // namespace

// A target may answer without a length. Taking a reset for the end would hand half an answer to the
// caller as a whole one.
TEST_CASE("a response without a length ends with its connection")
{
    loop on;
    client calling(on, taking_unframed());
    call_record seen;
    SUBCASE("a close makes it complete")
    {
        raw_server peer([](int descriptor) {
            read_until(descriptor, "\r\n\r\n");
            write_all(descriptor, "HTTP/1.1 200 OK\r\n\r\n12345");
        });
        const auto call = record(calling, get(peer.address(), "/"), seen);
        REQUIRE(run_until(on, [&] { return seen.end.has_value(); }));
        CHECK(base::is_ok(seen.end->outcome));
        CHECK(seen.body == "12345");
    }
    SUBCASE("a reset does not")
    {
        std::atomic<bool> has_read_head{false};
        raw_server peer([&](int descriptor) {
            read_until(descriptor, "\r\n\r\n");
            write_all(descriptor, "HTTP/1.1 200 OK\r\n\r\n12345");
            while (!has_read_head) {
                std::this_thread::yield();
            }
            const linger reset{1, 0};
            setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        });
        const auto call = record(calling, get(peer.address(), "/"), seen);
        REQUIRE(run_until(on, [&] { return seen.body == "12345"; }));
        on.schedule(in(std::chrono::milliseconds(1)), [&] { has_read_head = true; });
        REQUIRE(run_until(on, [&] { return seen.end.has_value(); }));
        CHECK_FALSE(base::is_ok(seen.end->outcome));
    }
}

// A request that meets a connection which its target has just closed has an unknown outcome.
TEST_CASE("an idle connection is dropped before the time that its peer announces")
{
    loop on;
    client_settings patient;
    patient.idle_timeout = std::chrono::hours(1);
    client calling(on, patient);
    raw_server peer([](int descriptor) {
        read_until(descriptor, "\r\n\r\n");
        write_all(descriptor, "HTTP/1.1 200 OK\r\nkeep-alive: timeout=1, max=9\r\n"
                              "content-length: 1\r\n\r\nx");
        read_all(descriptor);
    });
    call_record seen;
    const auto call = record(calling, get(peer.address(), "/"), seen);
    REQUIRE(run_until(on, [&] { return seen.end.has_value(); }));
    CHECK(base::is_ok(seen.end->outcome));
    CHECK(run_until(on, [&] { return peer.closed() == 1; }));
}

// h2o marks a broken chunked response by bytes that are no chunk; callers took them for garbage.
TEST_CASE("a chunked answer that is broken off ends with the connection and nothing else")
{
    loop on;
    std::shared_ptr<exchange> running;
    server serving(on, [&](std::shared_ptr<exchange> from) {
        running = std::move(from);
        running->start_response({});
        running->write("12345");
    });
    server_settings settings;
    settings.address = "127.0.0.1:0";
    REQUIRE(base::is_ok(serving.listen(settings)));
    std::string received;
    std::atomic<bool> is_done{false};
    std::thread caller([&] {
        const int descriptor = connect_to(serving.bound_address());
        write_all(descriptor, "GET / HTTP/1.1\r\nhost: a\r\n\r\n");
        received = read_until(descriptor, "12345\r\n");
        on.post([&] { running->abort(); });
        received += read_all(descriptor);
        is_done = true;
    });
    CHECK(run_until(on, [&] { return is_done.load(); }));
    caller.join();
    CHECK(received.ends_with("5\r\n12345\r\n"));
}

// A host that stopped with open connections ran timers of objects that were gone, and hung.
TEST_CASE("a loop that ends runs no timer of those who used it")
{
    bool has_run = false;
    int caller = -1;
    {
        loop on;
        std::shared_ptr<exchange> running;
        auto serving = std::make_unique<server>(
            on, [&](std::shared_ptr<exchange> from) { running = std::move(from); });
        server_settings settings;
        settings.address = "127.0.0.1:0";
        REQUIRE(base::is_ok(serving->listen(settings)));
        caller = connect_to(serving->bound_address());
        write_all(caller, "GET / HTTP/1.1\r\nhost: a\r\n\r\n");
        REQUIRE(run_until(on, [&] { return running != nullptr; }));
        on.schedule(base::boot_clock::now(), [&] { has_run = true; });
        serving.reset();
    }
    CHECK_FALSE(has_run);
    close(caller);
}

} // namespace snipeshore::http::tests
