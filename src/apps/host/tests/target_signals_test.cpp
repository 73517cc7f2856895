#include "apps/host/tests/host_fixture.h"

#include <doctest/doctest.h>

#include <chrono>
#include <cstdlib>
#include <string>

using namespace snipeshore;
using namespace apps::tests;
using namespace std::chrono_literals;

namespace {

const http::header_list plain_headers{{"x-key", "key"}, {"x-attempt-id", "id-1"}};

std::string make_row(const std::string& address, int sequence, int born)
{
    return R"({"service":"svc","zone":"z1","slots":4,"state":"ready","sequence":)" +
           std::to_string(sequence) + R"(,"born":)" + std::to_string(born) + R"(,"address":")" +
           address + "\"}";
}

/// A host with two targets of one service, of which the first adds signals to its responses.
class signal_fixture : public host_fixture {
public:
    signal_fixture() : host_fixture(plain_config)
    {
        set_row("t1", first.address(), 1, 1);
        set_row("t2", second.address(), 1, 1);
        await_targets(2);
    }

    void set_row(const std::string& id, const std::string& address, int sequence, int born)
    {
        store.set("servers", id, make_row(address, sequence, born));
    }

    int count_served(int requests)
    {
        int served = 0;
        for (int i = 0; i < requests; ++i) {
            served += send("/safe/one", plain_headers).status == 200 ? 1 : 0;
        }
        return served;
    }

    /// Sends requests until the first target has received one more.
    void reach_first()
    {
        const int before = first.requests;
        REQUIRE(run_until([&] {
            count_served(1);
            return first.requests > before;
        }));
    }

    http::response_head signals; ///< Status and headers of the first target's responses.

    test_target first{loop, [this](const std::shared_ptr<http::exchange>& request) {
                          respond_with_signals(request);
                      }};
    test_target second{loop, respond_success};

private:
    void respond_with_signals(const std::shared_ptr<http::exchange>& request) const
    {
        http::response_head head = signals;
        head.headers.push_back({"x-response-seal", "sealed"});
        const auto id = http::find_header(request->head().headers, "x-attempt-id");
        head.headers.push_back({"x-attempt-id", std::string(id.value_or(""))});
        request->respond(head, "whole answer");
    }
};

http::response_head leaving_head()
{
    return {200, {{"server-leaving", "1"}}, {}};
}

http::response_head resting_head(const std::string& seconds)
{
    return {503, {{"retry-after", seconds}, {"x-not-executed", "1"}}, {}};
}

} // namespace

// Guards against requests to a target that had said in its answers that it was leaving (DRAIN).
TEST_CASE("a target that says that it leaves gets no more requests")
{
    signal_fixture host;
    host.signals = leaving_head();
    host.reach_first();
    host.signals = {};
    const int before = host.first.requests;
    test_target moved(host.loop, respond_success);
    SUBCASE("while its row says that it is ready")
    {
        host.set_row("t1", host.first.address(), 2, 1);
        host.set_row("t3", free_address(), 1, 1);
        host.await_targets(3);
    }
    SUBCASE("after its row went missing and came back")
    {
        host.store.set("servers", "t1", std::nullopt);
        host.await_targets(1);
        host.set_row("t1", host.first.address(), 3, 1);
        host.await_targets(2);
    }
    SUBCASE("after it has registered another address")
    {
        host.set_row("t1", moved.address(), 2, 1);
        host.set_row("t3", free_address(), 1, 1);
        host.await_targets(3);
    }
    CHECK(host.count_served(40) == 40);
    CHECK(host.first.requests == before);
    CHECK(moved.requests == 0);
    SUBCASE("until it has started again")
    {
        host.set_row("t1", host.first.address(), 1, 2);
        host.reach_first();
    }
}

// Guards against repeats that pile up at a target which had asked for a rest (BUDGET).
TEST_CASE("a target that asks for a rest gets no requests in that time")
{
    signal_fixture host;
    host.signals = resting_head("2");
    const base::time_point end = base::boot_clock::now() + 2s;
    host.reach_first();
    const int before = host.first.requests;
    SUBCASE("also while the configuration and the rows change") {}
    SUBCASE("although another response to it asks for less")
    {
        host.signals = resting_head("0.1");
    }
    host.store.set("servers", "t1", std::nullopt);
    host.set_row("t1", host.first.address(), 3, 1);
    int served = 0;
    int sent = 0;
    while (base::boot_clock::now() < end) {
        served += host.count_served(1);
        ++sent;
        host.run_until(
            [until = base::boot_clock::now() + 10ms] { return base::boot_clock::now() >= until; });
    }
    CHECK(served == sent);
    CHECK(host.first.requests == before);
    host.signals = {};
    host.reach_first();
}

TEST_CASE("a service whose targets all rest refuses at once, until the first of them returns")
{
    signal_fixture host;
    host.store.set("servers", "t2", std::nullopt);
    host.await_targets(1);
    host.signals = resting_head("60");
    host.send("/safe/one", plain_headers);
    const int before = host.first.requests;
    REQUIRE(before > 0);
    const reply got = host.send("/once/one", plain_headers);
    CHECK(got.status == 503);
    CHECK(got.body.find("\"not_run\":true") != std::string::npos);
    const auto retry_after = http::find_header(got.headers, "retry-after");
    REQUIRE(retry_after.has_value());
    const double seconds = std::strtod(std::string(*retry_after).c_str(), nullptr);
    CHECK(seconds > 30);
    CHECK(seconds <= 90);
    CHECK(host.first.requests == before);
}

TEST_CASE("unclear signals are ignored and lose no request")
{
    signal_fixture host;
    SUBCASE("a leaving header that is not 1")
    {
        host.signals = {200, {{"server-leaving", "0"}}, {}};
    }
    SUBCASE("a time in a response that is no refusal")
    {
        host.signals = {200, {{"retry-after", "30"}}, {}};
    }
    SUBCASE("a date")
    {
        host.signals = resting_head("Wed, 21 Oct 2026 07:28:00 GMT");
    }
    SUBCASE("a negative time")
    {
        host.signals = resting_head("-5");
    }
    SUBCASE("no time at all")
    {
        host.signals = resting_head("0");
    }
    SUBCASE("a fraction is a time as well")
    {
        host.signals = resting_head("0.2");
    }
    host.reach_first();
    CHECK(host.count_served(20) == 20);
    host.signals = {};
    host.reach_first();
}
