#include "tests/support/fleet.h"
#include "tests/system/test_routes.h"

#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <functional>

using namespace snipeshore;
using namespace snipeshore::test;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr double account_rate = 50;
constexpr double account_burst = 50;

fleet_settings limited_fleet()
{
    fleet_settings settings;
    settings.failure_domains = {"tunis-a", "sfax-a"};
    settings.hosts_per_domain = 2;
    settings.edit = [](json& document) {
        add_test_routes(document);
        for (json& account : document["accounts"]) {
            account["rate"] = account_rate;
            account["burst"] = account_burst;
        }
    };
    return settings;
}

/// Keeps `width` requests of one account in flight on each of the given hosts.
class flood {
public:
    flood(fleet& fleet, std::string key, const std::vector<std::string>& hosts, std::size_t width)
        : m_fleet(fleet), m_key(std::move(key))
    {
        for (const std::string& host : hosts) {
            for (std::size_t index = 0; index < width; ++index) {
                send(host);
            }
        }
    }

    void stop()
    {
        m_is_stopping = true;
    }

    std::size_t admitted = 0;
    std::size_t refused = 0;
    std::size_t other = 0;
    std::size_t running = 0;

private:
    void send(const std::string& host)
    {
        if (m_is_stopping) {
            return;
        }
        ++running;
        http_request request;
        request.address = m_fleet.address_of(host, "entry_address");
        request.authority = m_fleet.service_host_name("order-desk");
        request.path = "/echo";
        request.headers = {{"authorization", "Bearer " + m_key}};
        m_fleet.session().start(request, [this, host](const http_response& reply) {
            --running;
            if (reply.status == 200) {
                ++admitted;
            } else if (reply.status == 429) {
                ++refused;
            } else {
                ++other;
            }
            send(host);
        });
    }

    fleet& m_fleet;
    std::string m_key;
    bool m_is_stopping = false;
};

} // namespace

// Guards against an account that gets more than its rate and burst by spreading over hosts, also
// while hosts die, restart or freeze, and against other accounts that notice it.
TEST_CASE("an account's rate and burst hold across all hosts together")
{
    fleet fleet(limited_fleet());
    REQUIRE(fleet.await_ready(30s));
    const std::string greedy = fleet.grant_key(fleet.document()["accounts"][0]["id"]);
    const std::string modest = fleet.grant_key(fleet.document()["accounts"][1]["id"]);
    const std::vector<std::string> hosts = fleet.host_ids();
    for (const std::string& host : hosts) {
        REQUIRE(fleet.session().run_until(
            [&] {
                const http_request request = get_with_key("/echo", modest);
                return fleet.send(host, "order-desk", request).status == 200;
            },
            base::boot_clock::now() + 15s));
    }
    const base::time_point begun = base::boot_clock::now();
    flood all(fleet, greedy, hosts, 4);
    const auto allowed = [&] {
        const std::chrono::duration<double> passed = base::boot_clock::now() - begun;
        return account_rate * passed.count() + account_burst;
    };

    SUBCASE("all hosts are well")
    {
        CHECK(fleet.session().run_until([&] { return all.admitted >= 300; }, begun + 30s));
        CHECK(static_cast<double>(all.admitted) <= allowed());
    }
    SUBCASE("a host is killed and started again, and another is frozen and resumed")
    {
        REQUIRE(fleet.session().run_until([&] { return all.admitted >= 60; }, begun + 30s));
        fleet.host(hosts[0]).entry_program->send_signal(SIGKILL);
        fleet.host(hosts[0]).entry_program->wait_exit(base::boot_clock::now() + 5s);
        fleet.start_entry(fleet.host(hosts[0]));
        fleet.host(hosts[1]).entry_program->send_signal(SIGSTOP);
        REQUIRE(fleet.session().run_until([&] { return all.admitted >= 150; }, begun + 60s));
        fleet.host(hosts[1]).entry_program->send_signal(SIGCONT);
        CHECK(fleet.session().run_until([&] { return all.admitted >= 250; }, begun + 60s));
        CHECK(static_cast<double>(all.admitted) <= allowed());
    }
    SUBCASE("another account is served within its rate meanwhile")
    {
        REQUIRE(fleet.session().run_until([&] { return all.refused >= 100; }, begun + 30s));
        std::size_t refused = 0;
        for (int round = 0; round < 20; ++round) {
            const http_request request = get_with_key("/echo", modest);
            const http_response reply = fleet.send(
                hosts[static_cast<std::size_t>(round) % hosts.size()], "order-desk", request);
            refused += reply.status == 200 ? 0 : 1;
        }
        CHECK(refused == 0);
    }
    all.stop();
    CHECK(
        fleet.session().run_until([&] { return all.running == 0; }, base::boot_clock::now() + 20s));
}
