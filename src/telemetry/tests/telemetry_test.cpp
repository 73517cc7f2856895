#include "telemetry/event_log.h"
#include "telemetry/metrics.h"

#include <doctest/doctest.h>
#include <prometheus/counter.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>

using namespace snipeshore::telemetry;

// Guards against callers that forge log lines by means of control characters in a value.
TEST_CASE("an event is one line of key=value pairs")
{
    SUBCASE("plain values are written without quotes")
    {
        CHECK(format_event("request_done", {{"status", 200}, {"path", "/stock/1"}}) ==
              "event=request_done status=200 path=/stock/1");
    }
    SUBCASE("a value with a line break and quotes is escaped")
    {
        const std::string line = format_event("refused", {{"path", "a\nevent=x \"q\" \x01"}});
        CHECK(line == "event=refused path=\"a\\x0aevent=x \\\"q\\\" \\x01\"");
    }
    SUBCASE("an empty value is quoted")
    {
        CHECK(format_event("e", {{"k", ""}}) == "event=e k=\"\"");
    }
}

// Guards against unbounded memory use through label values that callers choose.
TEST_CASE("the number of series per metric name is bounded")
{
    metrics registry;
    for (int index = 0; index < 2000; ++index) {
        registry.counter("requests_total", "Requests.", {{"account", std::to_string(index)}})
            .Increment();
    }
    const std::string text = registry.text();
    CHECK(text.find("account=\"other\"") != std::string::npos);
    CHECK(text.find("account=\"1999\"") == std::string::npos);
    CHECK(text.find("requests_total{account=\"0\"} 1") != std::string::npos);
}

// Guards against a process that blocks because the reader of its log has stopped.
TEST_CASE("logging to a full pipe drops lines and does not block")
{
    std::array<int, 2> pipe_ends{};
    REQUIRE(pipe(pipe_ends.data()) == 0);
    const int standard_error = dup(STDERR_FILENO);
    dup2(pipe_ends[1], STDERR_FILENO);
    init_event_log("test");
    const std::string long_value(1000, 'x');
    // Each event name has its own rate limit; all names together exceed the capacity of a pipe.
    for (int name = 0; name < 20; ++name) {
        for (std::uint64_t line = 0; line < max_events_per_second; ++line) {
            log_event(severity::info, "event_" + std::to_string(name), {{"value", long_value}});
        }
    }
    fcntl(pipe_ends[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 65536> chunk{};
    for (auto size = read(pipe_ends[0], chunk.data(), chunk.size()); size > 0;
         size = read(pipe_ends[0], chunk.data(), chunk.size())) {
        text.append(chunk.data(), static_cast<std::size_t>(size));
    }
    CHECK(text.size() < 1'000'000);
    log_event(severity::info, "after", {});
    const auto size = read(pipe_ends[0], chunk.data(), chunk.size());
    dup2(standard_error, STDERR_FILENO);
    REQUIRE(size > 0);
    const std::string last(chunk.data(), static_cast<std::size_t>(size));
    CHECK(last.find("event=after") != std::string::npos);
    CHECK(last.find("dropped_before=") != std::string::npos);
}
