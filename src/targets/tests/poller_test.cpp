#include "http/tests/test_support.h"
#include "targets/poller.h"

#include <doctest/doctest.h>

#include <map>
#include <utility>

namespace snipeshore::targets::tests {

namespace {

using namespace http::tests;

/// Short intervals, so that a test sees several polls.
constexpr poller_settings short_intervals{std::chrono::milliseconds(40),
                                          std::chrono::milliseconds(30)};

polled_target make_target(const std::string& id, const std::string& address)
{
    polled_target out;
    out.target = base::target_id(id);
    out.address = address;
    return out;
}

/// Target with configurable responses.
struct scripted_target {
    explicit scripted_target(http::loop& loop)
        : server(loop, [this](const std::shared_ptr<http::exchange>& from) { respond(from); })
    {
        http::server_settings settings;
        settings.address = "127.0.0.1:0";
        REQUIRE(base::is_ok(server.listen(settings)));
    }

    void respond(const std::shared_ptr<http::exchange>& from)
    {
        exchanges.push_back(from);
        if (suppress_responses) {
            return;
        }
        const bool is_health = from->head().path == "/health";
        http::response_head head;
        head.status = is_health ? health_status : 200;
        from->respond(head, is_health ? health_body : load_body);
    }

    bool suppress_responses = false;
    int health_status = 200;
    std::string health_body = R"({"status":"ok"})";
    std::string load_body = R"({"slots":3,"running":1,"queued":0})";
    std::vector<std::shared_ptr<http::exchange>> exchanges;
    http::server server;
};

} // namespace

TEST_CASE("health and load of targets are reported")
{
    http::loop loop;
    http::client client(loop, {});
    scripted_target target(loop);
    std::vector<poll_report> seen;
    poller target_poller(loop, client, short_intervals,
                         [&](const poll_report& report) { seen.push_back(report); });
    target_poller.set_targets({make_target("a", target.server.bound_address())});
    const auto next = [&] {
        seen.clear();
        REQUIRE(run_until(loop, [&] { return seen.size() >= 2; }));
        return seen.back();
    };

    const auto first = next();
    CHECK(first.target.value() == "a");
    CHECK(first.health == health_state::healthy);
    REQUIRE(first.load);
    CHECK(first.load->running == 1);

    SUBCASE("a draining target")
    {
        target.health_status = 503;
        target.health_body = R"({"status":"draining"})";
        CHECK(next().health == health_state::draining);
    }
    SUBCASE("an invalid load body")
    {
        target.load_body = "busy";
        const auto report = next();
        CHECK(report.health == health_state::healthy);
        CHECK_FALSE(report.load);
    }
    SUBCASE("a response that is too large")
    {
        target.health_body = std::string(1U << 20U, ' ');
        CHECK(next().health == health_state::unreachable);
    }
    SUBCASE("no response in time")
    {
        target.suppress_responses = true;
        const auto report = next();
        CHECK(report.health == health_state::unreachable);
        CHECK_FALSE(report.load);
        CHECK_FALSE(report.detail.empty());
    }
    SUBCASE("at most one poll of a target is in progress")
    {
        target.suppress_responses = true;
        next();
        CHECK(target.server.active_requests() <= 1);
    }
}

TEST_CASE("an unreachable target does not delay the others")
{
    http::loop loop;
    http::client client(loop, {});
    scripted_target target(loop);
    std::map<std::string, health_state> seen;
    poller target_poller(loop, client, short_intervals, [&](const poll_report& report) {
        seen[report.target.value()] = report.health;
    });
    target_poller.set_targets(
        {make_target("gone", "127.0.0.1:1"), make_target("there", target.server.bound_address())});
    REQUIRE(run_until(loop, [&] { return seen.size() == 2; }));
    CHECK(seen["gone"] == health_state::unreachable);
    CHECK(seen["there"] == health_state::healthy);
}

TEST_CASE("targets that a report callback removes are not reported again")
{
    http::loop loop;
    http::client client(loop, {});
    scripted_target target(loop);
    int reports = 0;
    std::unique_ptr<poller> target_poller;
    SUBCASE("by an empty list")
    {
        target_poller =
            std::make_unique<poller>(loop, client, short_intervals, [&](const poll_report&) {
                ++reports;
                target_poller->set_targets({});
            });
    }
    SUBCASE("by destroying the poller")
    {
        target_poller =
            std::make_unique<poller>(loop, client, short_intervals, [&](const poll_report&) {
                ++reports;
                target_poller.reset();
            });
    }
    target_poller->set_targets({make_target("a", target.server.bound_address())});
    REQUIRE(run_until(loop, [&] { return reports == 1; }));
    const auto end = base::boot_clock::now() + 3 * short_intervals.interval;
    REQUIRE(run_until(loop, [&] { return base::boot_clock::now() > end; }));
    CHECK(reports == 1);
}

} // namespace snipeshore::targets::tests
