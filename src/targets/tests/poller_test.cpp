#include "http/tests/test_support.h"
#include "targets/poller.h"

#include <doctest/doctest.h>

#include <map>
#include <utility>

namespace snipeshore::targets::tests {

namespace {

using namespace http::tests;

/// Short, so that tests see several polls.
constexpr poller_settings fast{std::chrono::milliseconds(40), std::chrono::milliseconds(30)};

polled_target make_target(const std::string& id, const std::string& address)
{
    polled_target out;
    out.target = base::target_id(id);
    out.address = address;
    return out;
}

/// Target whose answers the test sets.
struct scripted_target {
    explicit scripted_target(http::loop& on)
        : serving(on, [this](const std::shared_ptr<http::exchange>& from) { answer(from); })
    {
        http::server_settings settings;
        settings.address = "127.0.0.1:0";
        REQUIRE(base::is_ok(serving.listen(settings)));
    }

    void answer(const std::shared_ptr<http::exchange>& from)
    {
        held.push_back(from);
        if (is_silent) {
            return;
        }
        const bool is_health = from->head().path == "/health";
        http::response_head head;
        head.status = is_health ? health_status : 200;
        from->respond(head, is_health ? health_body : load_body);
    }

    bool is_silent = false;
    int health_status = 200;
    std::string health_body = R"({"status":"ok"})";
    std::string load_body = R"({"slots":3,"running":1,"queued":0})";
    std::vector<std::shared_ptr<http::exchange>> held;
    http::server serving;
};

} // namespace

TEST_CASE("health and load of targets are reported")
{
    http::loop on;
    http::client with(on, {});
    scripted_target target(on);
    std::vector<poll_report> seen;
    poller polling(on, with, fast, [&](const poll_report& one) { seen.push_back(one); });
    polling.set_targets({make_target("a", target.serving.bound_address())});
    const auto next = [&] {
        seen.clear();
        REQUIRE(run_until(on, [&] { return seen.size() >= 2; }));
        return seen.back();
    };

    const auto first = next();
    CHECK(first.target.value() == "a");
    CHECK(first.health == health_state::healthy);
    REQUIRE(first.load);
    CHECK(first.load->running == 1);

    SUBCASE("a drain")
    {
        target.health_status = 503;
        target.health_body = R"({"status":"draining"})";
        CHECK(next().health == health_state::draining);
    }
    SUBCASE("a load that is no load")
    {
        target.load_body = "busy";
        const auto report = next();
        CHECK(report.health == health_state::healthy);
        CHECK_FALSE(report.load);
    }
    SUBCASE("an answer that is too large")
    {
        target.health_body = std::string(1U << 20U, ' ');
        CHECK(next().health == health_state::unreachable);
    }
    SUBCASE("no answer in time")
    {
        target.is_silent = true;
        const auto report = next();
        CHECK(report.health == health_state::unreachable);
        CHECK_FALSE(report.load);
        CHECK_FALSE(report.detail.empty());
    }
    SUBCASE("at most one poll of a target runs")
    {
        target.is_silent = true;
        next();
        CHECK(target.serving.active_requests() <= 1);
    }
}

TEST_CASE("an unreachable target does not hold up the others")
{
    http::loop on;
    http::client with(on, {});
    scripted_target target(on);
    std::map<std::string, health_state> seen;
    poller polling(on, with, fast,
                   [&](const poll_report& one) { seen[one.target.value()] = one.health; });
    polling.set_targets(
        {make_target("gone", "127.0.0.1:1"), make_target("there", target.serving.bound_address())});
    REQUIRE(run_until(on, [&] { return seen.size() == 2; }));
    CHECK(seen["gone"] == health_state::unreachable);
    CHECK(seen["there"] == health_state::healthy);
}

TEST_CASE("removed targets are not reported, also when a callback removes them")
{
    http::loop on;
    http::client with(on, {});
    scripted_target target(on);
    int reports = 0;
    std::unique_ptr<poller> polling;
    SUBCASE("by an empty list")
    {
        polling = std::make_unique<poller>(on, with, fast, [&](const poll_report&) {
            ++reports;
            polling->set_targets({});
        });
    }
    SUBCASE("by the end of the poller")
    {
        polling = std::make_unique<poller>(on, with, fast, [&](const poll_report&) {
            ++reports;
            polling.reset();
        });
    }
    polling->set_targets({make_target("a", target.serving.bound_address())});
    REQUIRE(run_until(on, [&] { return reports == 1; }));
    const auto end = base::boot_clock::now() + 3 * fast.interval;
    REQUIRE(run_until(on, [&] { return base::boot_clock::now() > end; }));
    CHECK(reports == 1);
}

} // namespace snipeshore::targets::tests
