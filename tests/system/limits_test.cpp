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

/// Keeps `width` concurrent requests of one client account in progress on each of the given hosts.
class load_generator {
public:
    load_generator(fleet& fleet, std::string key, const std::vector<std::string>& hosts,
                   std::size_t width)
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

// Guards against a client account that exceeds its rate and burst by sending to several hosts, also
// while hosts crash, restart or are suspended, and against effects on other accounts.
TEST_CASE("an account's rate and burst hold across all hosts together")
{
    fleet fleet(limited_fleet());
    REQUIRE(fleet.await_ready(30s));
    const std::string overloading_key = fleet.grant_key(fleet.document()["accounts"][0]["id"]);
    const std::string other_key = fleet.grant_key(fleet.document()["accounts"][1]["id"]);
    const std::vector<std::string> hosts = fleet.host_ids();
    for (const std::string& host : hosts) {
        REQUIRE(fleet.session().run_until(
            [&] {
                const http_request request = get_with_key("/echo", other_key);
                return fleet.send(host, "order-desk", request).status == 200;
            },
            base::boot_clock::now() + 15s));
    }
    const base::time_point started = base::boot_clock::now();
    load_generator load(fleet, overloading_key, hosts, 4);
    const auto allowed = [&] {
        const std::chrono::duration<double> passed = base::boot_clock::now() - started;
        return account_rate * passed.count() + account_burst;
    };

    SUBCASE("all hosts are healthy")
    {
        CHECK(fleet.session().run_until([&] { return load.admitted >= 300; }, started + 30s));
        CHECK(static_cast<double>(load.admitted) <= allowed());
    }
    SUBCASE("one host is killed and restarted, and another is suspended and resumed")
    {
        REQUIRE(fleet.session().run_until([&] { return load.admitted >= 60; }, started + 30s));
        fleet.host(hosts[0]).entry_program->send_signal(SIGKILL);
        fleet.host(hosts[0]).entry_program->wait_exit(base::boot_clock::now() + 5s);
        fleet.start_entry(fleet.host(hosts[0]));
        fleet.host(hosts[1]).entry_program->send_signal(SIGSTOP);
        REQUIRE(fleet.session().run_until([&] { return load.admitted >= 150; }, started + 60s));
        fleet.host(hosts[1]).entry_program->send_signal(SIGCONT);
        CHECK(fleet.session().run_until([&] { return load.admitted >= 250; }, started + 60s));
        CHECK(static_cast<double>(load.admitted) <= allowed());
    }
    SUBCASE("another account within its rate is served at the same time")
    {
        REQUIRE(fleet.session().run_until([&] { return load.refused >= 100; }, started + 30s));
        std::size_t refused = 0;
        for (int round = 0; round < 20; ++round) {
            const http_request request = get_with_key("/echo", other_key);
            const http_response reply = fleet.send(
                hosts[static_cast<std::size_t>(round) % hosts.size()], "order-desk", request);
            refused += reply.status == 200 ? 0 : 1;
        }
        CHECK(refused == 0);
    }
    load.stop();
    CHECK(fleet.session().run_until([&] { return load.running == 0; },
                                    base::boot_clock::now() + 20s));
}
