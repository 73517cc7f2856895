#include "apps/host/tests/host_fixture.h"
#include "http/tests/late_target.h"

#include <doctest/doctest.h>

#include <unistd.h>

#include <optional>
#include <string>

using namespace snipeshore;
using namespace snipeshore::apps::tests;
using namespace snipeshore::http::tests;
using namespace std::chrono_literals;

namespace {

// The caller waits far longer than the route's timeout of 1 s, so that only the latter can end a
// request before the caller leaves.
const http::header_list with_key{
    {"x-key", "key"}, {"x-attempt-id", "id-1"}, {"x-deadline-ms", "25000"}};

std::string make_config(const std::string& timeout)
{
    std::string config = plain_config;
    const std::string from = "\"timeout\":\"2s\"";
    for (std::size_t at = 0; (at = config.find(from, at)) != std::string::npos;) {
        config.replace(at, from.size(), "\"timeout\":\"" + timeout + "\"");
    }
    return config;
}

class late_fixture : public host_fixture {
public:
    explicit late_fixture(const late_target& target, int targets = 1,
                          const std::string& timeout = "1s")
        : host_fixture(make_config(timeout), 100ms, 20s, free_address())
    {
        for (int i = 0; i < targets; ++i) {
            add_target("t" + std::to_string(i), target.address());
        }
        await_targets(static_cast<std::size_t>(targets));
    }

    /// Requests that ended so, as the metrics tell.
    int ended(const std::string& outcome)
    {
        const std::string text = get(settings.metrics_address, "/-/metrics").body;
        int count = 0;
        const std::string label = "outcome=\"" + outcome + "\"";
        for (std::size_t at = 0; (at = text.find(label, at)) != std::string::npos; ++at) {
            const std::size_t value = text.find("} ", at) + 2;
            count += std::stoi(text.substr(value));
        }
        return count;
    }

    bool has_metric(const std::string& line)
    {
        return get(settings.metrics_address, "/-/metrics").body.find("\n" + line + "\n") !=
               std::string::npos;
    }

    bool has_ejected()
    {
        // The metric appears with the first ejection.
        return get(settings.metrics_address, "/-/metrics")
                   .body.find("\nsnipeshore_target_ejections_total ") != std::string::npos;
    }

    /// A caller that sends one request and reads when the test says so.
    int connect_and_send(const std::string& request)
    {
        constexpr int receive_buffer_bytes = 4096;
        const int connection = connect_to(settings.entry_address, receive_buffer_bytes);
        write_all(connection, request);
        return connection;
    }
};

std::string make_request(const std::string& method, const std::string& path)
{
    return method + " " + path + " HTTP/1.1\r\nhost: a.example\r\nx-key: key\r\n" +
           "x-attempt-id: id-1\r\n" + (method == "POST" ? "content-length: 0\r\n\r\n" : "\r\n");
}

} // namespace

// Guards against callers that are held until their own time limit by a target that began its
// response in time and then fell silent: the route's timeout ended only the wait for the head.
TEST_CASE("a response that has begun ends with the route's timeout")
{
    SUBCASE("if its target is silent")
    {
        std::string first_bytes;
        SUBCASE("behind the head")
        {
            first_bytes = with_length;
        }
        SUBCASE("in the middle of a body with a length")
        {
            first_bytes = with_length + "whole ";
        }
        SUBCASE("between two chunks")
        {
            first_bytes = with_chunks + "6\r\nwhole \r\n";
        }
        SUBCASE("before the last chunk")
        {
            first_bytes = with_chunks + "c\r\nwhole answer\r\n";
        }
        SUBCASE("in a body that ends with the connection")
        {
            first_bytes = until_close + "whole ";
        }
        late_target target({first_bytes});
        late_fixture host(target);
        CHECK(host.send("/once/x", with_key, "POST").status == 0);
        CHECK(host.ended("silent_target") == 1);
        // A safe response with a short length has not begun for its caller.
        const int expected = first_bytes.starts_with(with_length) ? 504 : 0;
        CHECK(host.send("/safe/x", with_key).status == expected);
        CHECK(host.ended("silent_target") + host.ended("deadline_exceeded") == 2);
    }
    SUBCASE("also if it has sent only interim or incomplete heads")
    {
        std::string first_bytes = "HTTP/1.1 103 Early Hints\r\n\r\n";
        SUBCASE("and a part of the final head")
        {
            first_bytes += "HTTP/1.1 200 OK\r\nx-attempt-id:";
        }
        late_target target({first_bytes});
        late_fixture host(target);
        CHECK(host.send("/once/x", with_key, "POST").status == 504);
        CHECK(host.send("/safe/x", with_key).status == 504);
        CHECK(host.ended("deadline_exceeded") == 2);
    }
    SUBCASE("if its target is slow")
    {
        late_target target(drip);
        late_fixture host(target);
        CHECK(host.send("/once/x", with_key, "POST").status == 0);
        CHECK(host.send("/safe/x", with_key).status == 0);
        CHECK(host.ended("slow_target") == 2);
    }
    SUBCASE("if its caller does not read what the target sends")
    {
        late_target target(flood);
        late_fixture host(target);
        const int caller = host.connect_and_send(make_request("POST", "/once/x"));
        REQUIRE(host.run_until([&] { return host.ended("slow_caller") == 1; }));
        // The caller neither reads nor closes, and holds nothing on the host for long.
        REQUIRE(host.run_until([&] {
            return host.has_metric("snipeshore_caller_connections 0") &&
                   host.has_metric("snipeshore_lingering_connections 0");
        }));
        close(caller);
    }
    SUBCASE("that was in force when the request arrived")
    {
        late_target target({with_length});
        late_fixture host(target);
        std::optional<reply> got;
        host.begin("/open/x", with_key, got);
        REQUIRE(host.run_until([&] { return target.late_requests == 1; }));
        std::string next = make_config("20s");
        next.replace(next.find("00000005"), 8, "00000006");
        host.store.set("op", "config", next);
        REQUIRE(host.run_until([&] { return got.has_value(); }));
        CHECK(got->status == 504);
    }
    SUBCASE("during a planned stop")
    {
        late_target target({with_chunks + "6\r\nwhole \r\n"});
        late_fixture host(target);
        std::optional<reply> got;
        host.begin("/safe/x", with_key, got);
        REQUIRE(host.run_until([&] { return target.late_requests == 1; }));
        host.app->stop();
        REQUIRE(host.run_until([&] { return got.has_value(); }));
        CHECK(got->status == 0);
        CHECK(host.ended("silent_target") == 1);
    }
}

// Guards against complete responses that are cut because their callers read them slowly.
TEST_CASE("a response that its target has sent in time is delivered after the route's timeout")
{
    const std::string body(200'000, 'b');
    late_target target({with_length});
    target.ok_response = status_and_id + "content-length: 200000\r\n\r\n" + body;
    late_fixture host(target);
    const int caller = host.connect_and_send(make_request("POST", "/once/ok"));
    REQUIRE(host.run_until([&] { return target.ok_requests == 1; }));
    // The timeout of a later request shows that the one of the first has passed.
    CHECK(host.send("/once/x", with_key, "POST").status == 0);
    CHECK(host.ended("silent_target") == 1);
    const std::string got = run_in_thread(host.loop, [&] { return read_until(caller, body); });
    CHECK(got.ends_with(body));
    close(caller);
}

// Guards against responses behind a silent one that are lost with it, although the caller has not
// received any of the latter.
TEST_CASE("the request behind a silent response is answered on the same connection")
{
    late_target target({with_length + "whole "});
    late_fixture host(target, 2);
    const int caller =
        host.connect_and_send(make_request("GET", "/safe/x") + make_request("GET", "/safe/ok"));
    const std::string got =
        run_in_thread(host.loop, [&] { return read_until(caller, "whole answer"); });
    CHECK(got.starts_with("HTTP/1.1 504"));
    CHECK(got.find("HTTP/1.1 200") != std::string::npos);
    close(caller);
}

// Guards against idempotent requests that wait for a silent target until their time is over,
// although another target could answer.
TEST_CASE("an idempotent request leaves a target that falls silent in its response")
{
    late_target target({with_length + "whole "});
    target.max_late_requests = 1;
    late_fixture host(target, 2, "4s");
    const reply got = host.send("/safe/x", with_key);
    CHECK(got.status == 200);
    CHECK(got.body == "whole answer");
    CHECK(target.late_requests == 1);
}

// Guards against targets that are avoided because their callers read slowly, and against silent
// targets that get further requests because they have begun a response.
TEST_CASE("the cause of a late response decides about its target")
{
    constexpr int repetitions = 3;
    SUBCASE("a silent target is ejected")
    {
        late_target target({with_length + "whole "});
        late_fixture host(target);
        SUBCASE("whose responses are streamed")
        {
            host.send("/once/x", with_key, "POST");
            host.send("/once/x", with_key, "POST");
        }
        SUBCASE("whose responses are buffered")
        {
            host.send("/safe/x", with_key);
            host.send("/safe/x", with_key);
        }
        CHECK(host.has_ejected());
    }
    SUBCASE("a slow target is not")
    {
        late_target target(drip);
        late_fixture host(target);
        for (int i = 0; i < repetitions; ++i) {
            host.send("/once/x", with_key, "POST");
        }
        CHECK(!host.has_ejected());
    }
    SUBCASE("a slow target whose responses are buffered is not")
    {
        late_target target({with_length, "x", 200'000});
        late_fixture host(target);
        for (int i = 0; i < repetitions; ++i) {
            CHECK(host.send("/safe/x", with_key).status != 200);
        }
        CHECK(!host.has_ejected());
    }
    SUBCASE("the target of a slow caller is not, and still counts as fast")
    {
        late_target target(flood);
        late_fixture host(target);
        for (int i = 1; i <= repetitions; ++i) {
            const int caller = host.connect_and_send(make_request("POST", "/once/x"));
            REQUIRE(host.run_until([&] { return host.ended("slow_caller") == i; }));
            close(caller);
        }
        CHECK(!host.has_ejected());
        CHECK(host.send("/once/ok", with_key, "POST").status == 200);
    }
}
