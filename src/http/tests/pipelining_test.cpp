#include "http/internal/pipelined_requests.h"
#include "http/tests/test_support.h"

#include <doctest/doctest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <future>
#include <map>

using namespace snipeshore;
using namespace snipeshore::http;
using namespace snipeshore::http::tests;

namespace {

std::string request(const std::string& path, const std::string& method = "GET",
                    const std::string& more = "")
{
    return method + " " + path + " HTTP/1.1\r\nHost: a\r\nX-Id: " + path + "\r\n" + more + "\r\n";
}

} // namespace

TEST_CASE("pipelined requests are parsed")
{
    const std::string first = request("/1");
    CHECK(parse_pipelined_requests("").empty());
    CHECK(parse_pipelined_requests(first).size() == 1);
    SUBCASE("as h2o reports them")
    {
        const auto heads = parse_pipelined_requests(first + request("/2?q=1"));
        REQUIRE(heads.size() == 2);
        CHECK(heads[1].method == "GET");
        CHECK(heads[1].path == "/2?q=1");
        CHECK(heads[1].authority == "a");
        REQUIRE(heads[1].headers.size() == 1);
        CHECK(heads[1].headers[0].name == "x-id");
        CHECK(heads[1].headers[0].value == "/2?q=1");
    }
    SUBCASE("up to an incomplete request")
    {
        const std::string second = request("/2");
        for (std::size_t size = 0; size < second.size(); ++size) {
            CHECK(parse_pipelined_requests(first + second.substr(0, size)).size() == 1);
        }
    }
    SUBCASE("up to a request that has a body, is not a GET or affects the connection")
    {
        const std::string last = request("/3");
        CHECK(parse_pipelined_requests(first + request("/2", "GET", "Content-Length: 3\r\n") +
                                       "abc" + last)
                  .size() == 1);
        CHECK(parse_pipelined_requests(
                  first + request("/2", "GET", "Transfer-Encoding: chunked\r\n") + last)
                  .size() == 1);
        CHECK(parse_pipelined_requests(first + request("/2", "POST") + last).size() == 1);
        CHECK(parse_pipelined_requests(first + request("/2", "GET", "Connection: close\r\n") + last)
                  .size() == 1);
        CHECK(parse_pipelined_requests(first + request("/2", "GET", "Expect: 100-continue\r\n") +
                                       last)
                  .size() == 1);
        CHECK(parse_pipelined_requests(first + "nonsense\r\n\r\n" + last).size() == 1);
    }
}

// Guards against pipelined requests that wait for earlier requests of their caller although targets
// are free.
TEST_CASE("pipelined requests are handled concurrently and answered in order")
{
    loop event_loop;
    std::map<std::string, std::shared_ptr<exchange>> held;
    std::vector<std::string> arrived;
    std::vector<std::string> closed;
    server http_server(event_loop, [&](const std::shared_ptr<exchange>& from) {
        const std::string path = from->head().path;
        arrived.push_back(path);
        held[path] = from;
        from->on_closed([&closed, path] { closed.push_back(path); });
    });
    http_server.allow_pipelining([](const request_head& head) { return head.path != "/once"; });
    REQUIRE(base::is_ok(http_server.listen(loopback())));
    const int caller = connect_to(http_server.bound_address());
    const auto respond_to = [&](const std::string& path) {
        held.at(path)->respond({}, "answer to " + path);
    };
    const auto await = [&](const std::string& text) {
        return run_in_thread(event_loop, [&] { return read_until(caller, text); });
    };
    SUBCASE("sent together")
    {
        write_all(caller, request("/1") + request("/2") + request("/3"));
        REQUIRE(run_until(event_loop, [&] { return arrived.size() == 3; }));
        respond_to("/3");
        respond_to("/2");
        respond_to("/1");
        const std::string got = await("answer to /3");
        CHECK(got.find("answer to /1") < got.find("answer to /2"));
        CHECK(got.find("answer to /2") < got.find("answer to /3"));
        CHECK(arrived.size() == 3);
    }
    SUBCASE("sent while the first is in progress")
    {
        write_all(caller, request("/1"));
        REQUIRE(run_until(event_loop, [&] { return arrived.size() == 1; }));
        write_all(caller, request("/2"));
        REQUIRE(run_until(event_loop, [&] { return arrived.size() == 2; }));
        respond_to("/1");
        await("answer to /1");
        write_all(caller, request("/3"));
        REQUIRE(run_until(event_loop, [&] { return arrived.size() == 3; }));
        respond_to("/3");
        respond_to("/2");
        const std::string got = await("answer to /3");
        CHECK(got.find("answer to /2") < got.find("answer to /3"));
    }
    SUBCASE("streamed in chunks")
    {
        write_all(caller, request("/1") + request("/2"));
        REQUIRE(run_until(event_loop, [&] { return arrived.size() == 2; }));
        int writable = 0;
        held["/2"]->on_writable([&] { ++writable; });
        held["/2"]->start_response({});
        held["/2"]->write("first piece, ");
        REQUIRE(run_until(event_loop, [&] { return writable == 1; }));
        respond_to("/1");
        std::string got = await("answer to /1");
        held["/2"]->write("second piece");
        held["/2"]->finish();
        got += await("second piece");
        CHECK(got.find("first piece, ") != std::string::npos);
    }
    SUBCASE("a request rejected by the filter waits for earlier ones, and later requests do not "
            "start before it")
    {
        write_all(caller, request("/1") + request("/once") + request("/3"));
        REQUIRE(run_until(event_loop, [&] { return arrived.size() == 1; }));
        respond_to("/1");
        REQUIRE(run_until(event_loop, [&] { return held.contains("/once"); }));
        REQUIRE(run_until(event_loop, [&] { return held.contains("/3"); }));
        CHECK(arrived == std::vector<std::string>{"/1", "/once", "/3"});
        respond_to("/once");
        respond_to("/3");
        await("answer to /3");
    }
    // Guards against responses that are lost at a planned stop: the connection was closed behind
    // the first one, although later requests were already running.
    SUBCASE("a drain closes the connection behind the last request that was passed on")
    {
        write_all(caller, request("/1") + request("/2") + request("/3"));
        REQUIRE(run_until(event_loop, [&] { return arrived.size() == 3; }));
        bool is_idle = false;
        http_server.drain([&] { is_idle = true; });
        write_all(caller, request("/4"));
        respond_to("/3");
        respond_to("/1");
        std::string got = await("answer to /1");
        CHECK(got.find("close") == std::string::npos);
        respond_to("/2");
        got += await("answer to /3");
        CHECK(got.find("answer to /2") < got.find("Connection: close"));
        CHECK(got.find("Connection: close") < got.find("answer to /3"));
        CHECK(arrived.size() == 3);
        shutdown(caller, SHUT_WR);
        CHECK(run_until(event_loop, [&] { return is_idle; }));
    }
    SUBCASE("a disconnect of the caller closes all of them")
    {
        write_all(caller, request("/1") + request("/2"));
        REQUIRE(run_until(event_loop, [&] { return arrived.size() == 2; }));
        shutdown(caller, SHUT_RDWR);
        CHECK(run_until(event_loop, [&] { return closed.size() == 2; }));
    }
    SUBCASE("an aborted response drops the requests after it")
    {
        write_all(caller, request("/1") + request("/2"));
        REQUIRE(run_until(event_loop, [&] { return arrived.size() == 2; }));
        held["/1"]->start_response({});
        held["/1"]->abort();
        CHECK(run_until(event_loop, [&] { return closed == std::vector<std::string>{"/2"}; }));
    }
    close(caller);
}
