#include "apps/host/target_limits.h"

#include "apps/host/host_context.h"
#include "apps/host/notices.h"
#include "fleet/members.h"
#include "http/client.h"
#include "http/loop.h"
#include "limits/target_limit.h"
#include "telemetry/metrics.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace snipeshore;
using namespace std::chrono_literals;

namespace {

const base::service_id service("svc");
const base::time_point start = base::time_point{} + 1h;

/// State of one host of a fleet with one target in failure domain "d0".
class limited_host {
public:
    limited_host(std::size_t number, std::size_t hosts, std::size_t domains)
        : m_client(m_loop, {}), context{m_settings, m_loop, m_client, m_metrics}
    {
        context.members.self = name(number);
        context.members.own_domain = domain(number, domains);
        for (std::size_t other = 0; other < hosts; ++other) {
            fleet::member listed;
            listed.id = name(other);
            listed.failure_domain = domain(other, domains);
            fleet::add_listed(context.members, listed);
        }
        context.spread = [this] {
            ++spreads;
        };
        context.keep_evidence = [](const fleet::notice&, bool) {
        };
        context.clear_evidence = [](const fleet::notice&, crash_evidence::keep_clearance) {
        };
        set_target(1);
    }

    void set_target(std::int64_t started_ms)
    {
        apps::target_entry entry;
        entry.id = base::target_id("t1");
        entry.service = service;
        entry.failure_domain = domain(0, 1);
        entry.address = "t1:80";
        entry.slots = 4;
        entry.started_ms = started_ms;
        apps::set_targets(
            apps::pool_of(context, service), {entry},
            [](const base::failure_domain_id&) { return false; },
            {{domain(0, 1), base::region_id("r")}}, domain(0, 1), start);
    }

    apps::pooled_target& target()
    {
        return context.pools.at(service).targets.front();
    }

    void hear(const std::string& limit, base::time_point now)
    {
        apps::apply_limit_header(context, target(),
                                 limit == "none" ? std::nullopt : std::optional(limit), now);
    }

    /// Sends a request if the target may be chosen. The response names the limit.
    bool send(const std::string& limit, base::time_point now)
    {
        if (!limits::has_room(target().limit, now)) {
            return false;
        }
        const prediction::request_traits traits{1, 1, false, 300ms};
        apps::target_pool& pool = context.pools.at(service);
        const apps::sent_request sent = apps::on_sent(pool, target(), traits, 0ms, now);
        apps::on_ended(pool, target(), sent, std::nullopt, now);
        hear(limit, now);
        return true;
    }

    void tell(limited_host& other, base::time_point now)
    {
        fleet::exchange_message message;
        message.from.id = context.members.self;
        message.notices = fleet::notices_to_tell(context.notices, now);
        apps::apply_notices(other.context, message, now + 30ms);
    }

private:
    static base::host_id name(std::size_t number)
    {
        return base::host_id("h" + std::to_string(number));
    }

    static base::failure_domain_id domain(std::size_t number, std::size_t domains)
    {
        return base::failure_domain_id("d" + std::to_string(number % domains));
    }

    apps::host_settings m_settings;
    http::loop m_loop;
    http::client m_client;
    telemetry::metrics m_metrics;

public:
    apps::host_context context;
    int spreads = 0;
};

} // namespace

TEST_CASE("a host follows the limit that a target names")
{
    limited_host host(0, 1, 1);
    host.hear("6.1", start);
    REQUIRE(host.target().limit.rate == 6.1);
    CHECK(host.target().limit.own_rate == doctest::Approx(6.1));
    CHECK(host.spreads == 1);
    SUBCASE("that rises or falls, and tells others only of a change at once")
    {
        host.hear("6.1", start + 1s);
        CHECK(host.spreads == 1);
        host.hear("3", start + 2s);
        CHECK(host.target().limit.rate == 3);
        CHECK(host.spreads == 2);
        host.hear("9", start + 3s);
        CHECK(host.target().limit.own_rate == doctest::Approx(9));
    }
    SUBCASE("until it names none any more")
    {
        host.hear("none", start + 2s);
        CHECK_FALSE(host.target().limit.rate.has_value());
        CHECK(host.spreads == 2);
    }
    // Guards against a limit that is dropped for the rest of a round trip: a response from before
    // it was named may come after one that names it.
    SUBCASE("although an earlier response that names none comes late")
    {
        host.hear("none", start + 300ms);
        CHECK(host.target().limit.rate == 6.1);
    }
    SUBCASE("and keeps to it when the target names something unreadable")
    {
        for (const std::string bad : {"", "-5", "many", "1e999", "nan"}) {
            host.hear(bad, start + 2s);
            CHECK(host.target().limit.rate == 6.1);
        }
    }
    SUBCASE("also if it takes nothing, or far more than all hosts send")
    {
        host.hear("0", start + 2s);
        CHECK(host.target().limit.rate == 0);
        CHECK(host.target().limit.own_rate > 0);
        CHECK(host.target().limit.own_rate < 0.5);
        host.hear("1e300", start + 3s);
        CHECK(host.send("1e300", start + 4s));
        CHECK(host.send("1e300", start + 4s));
    }
    SUBCASE("for some time after it has heard of it last")
    {
        apps::update_limit_shares(host.context, start + 29s);
        CHECK(host.target().limit.rate.has_value());
        apps::update_limit_shares(host.context, start + 31s);
        CHECK_FALSE(host.target().limit.rate.has_value());
    }
    SUBCASE("but not for a new process of the target")
    {
        host.set_target(2);
        CHECK_FALSE(host.target().limit.rate.has_value());
        limited_host other(1, 2, 1);
        other.hear("4", start + 1s);
        other.tell(host, start + 2s);
        CHECK_FALSE(host.target().limit.rate.has_value());
    }
}

TEST_CASE("hosts tell each other the limits of targets")
{
    limited_host teller(0, 2, 1);
    limited_host other(1, 2, 1);
    teller.hear("6", start);
    teller.tell(other, start + 100ms);
    REQUIRE(other.target().limit.rate == 6);
    CHECK(teller.target().limit.own_rate == doctest::Approx(3));
    CHECK(other.target().limit.own_rate == doctest::Approx(3));
    SUBCASE("and their ends")
    {
        teller.hear("none", start + 2s);
        teller.tell(other, start + 2100ms);
        CHECK_FALSE(other.target().limit.rate.has_value());
    }
    SUBCASE("an older notice changes nothing")
    {
        limited_host late(1, 2, 1);
        late.hear("2", start - 5s);
        late.tell(other, start + 1s);
        CHECK(other.target().limit.rate == 6);
    }
    SUBCASE("a message with values out of range ends nobody")
    {
        fleet::exchange_message message;
        message.notices = {{fleet::notice_kind::target_limit, "t1/1", -1e300, 0ms},
                           {fleet::notice_kind::target_limit, "t1", 5, 0ms},
                           {fleet::notice_kind::target_limit, "/", 5, 0ms},
                           {fleet::notice_kind::crash, "no number/t1", 5, 0ms},
                           {fleet::notice_kind::crash, "12", 5, 0ms},
                           {fleet::notice_kind::quarantine, "12", 1e300, 0ms}};
        apps::apply_notices(other.context, message, start + 5s);
        CHECK(crash_evidence::is_quarantined(other.context.crashes, 0x12, start + 6s));
    }
}

// Guards against a target in need that gets many times what it takes: each host that had heard of
// the limit would keep to it by itself.
TEST_CASE("a fleet keeps a target within its limit")
{
    constexpr std::chrono::milliseconds step{5};
    constexpr std::chrono::milliseconds contact{3000};
    constexpr std::chrono::milliseconds window{4000};
    const std::map<std::size_t, std::size_t> domains_by_hosts{{10, 6}, {81, 6}, {3, 3}};
    for (const auto& size : domains_by_hosts) {
        const std::size_t hosts = size.first;
        const std::size_t domains = size.second;
        for (const double limit : {0.5, 6.1, 15.1, 60.0}) {
            INFO(hosts, " hosts, limit ", limit);
            const std::string named = std::to_string(limit);
            std::vector<std::unique_ptr<limited_host>> fleet;
            for (std::size_t i = 0; i < hosts; ++i) {
                fleet.push_back(std::make_unique<limited_host>(i, hosts, domains));
            }
            std::mt19937_64 random(7);
            std::vector<base::time_point> sent;
            for (base::time_point now = start; now < start + 12s; now += step) {
                // Twice what the limit allows comes, and 200 a second at least.
                const auto copies = static_cast<int>(std::max(200.0, 2 * limit) * 0.005) + 1;
                for (int i = 0; i < copies; ++i) {
                    if (fleet[random() % hosts]->send(named, now)) {
                        sent.push_back(now);
                    }
                }
                const auto passed = now - start;
                if (passed % 1000ms == 0ms) {
                    limited_host& teller = *fleet[random() % hosts];
                    for (const auto& other : fleet) {
                        teller.tell(*other, now);
                    }
                }
            }
            std::ptrdiff_t most = 0;
            for (const base::time_point from : sent) {
                if (from > start + contact) {
                    most = std::max(most, std::count_if(sent.begin(), sent.end(), [&](auto at) {
                                        return at >= from && at < from + window;
                                    }));
                }
            }
            CHECK(static_cast<double>(most) <= 1.5 * limit * 4 + 5);
            // And what the target takes is used.
            const auto late =
                std::count_if(sent.begin(), sent.end(), [&](auto at) { return at >= start + 8s; });
            CHECK(static_cast<double>(late) >= 0.5 * limit * 4 - 1);
        }
    }
}
