#include "telemetry/event_log.h"
#include "telemetry/metrics.h"

#include <doctest/doctest.h>
#include <prometheus/counter.h>

#include <string>

using namespace snipeshore::telemetry;

// Guards against a caller that forges log lines by control characters in a value.
TEST_CASE("an event is one line of key=value pairs")
{
    SUBCASE("plain values stay as they are")
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

// Guards against label values chosen by callers that would grow the memory of the process.
TEST_CASE("metrics keep a bounded number of series per name")
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
