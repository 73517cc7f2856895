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

fleet_settings one_domain()
{
    fleet_settings settings;
    settings.failure_domains = {"tunis-a"};
    settings.hosts_per_domain = 2;
    settings.targets_per_domain = 3;
    settings.edit = add_test_routes;
    settings.entry_flags = {"--leave_delay_ms=2000", "--stop_deadline_ms=20000"};
    return settings;
}

/// Simulates callers that each send one request at a time, with a look-up before each request.
class caller_group {
public:
    caller_group(fleet& fleet, std::string key, std::size_t count)
        : m_fleet(fleet), m_key(std::move(key))
    {
        for (std::size_t index = 0; index < count; ++index) {
            look_up();
        }
    }

    void stop()
    {
        m_is_stopping = true;
    }

    std::size_t succeeded = 0;
    std::size_t failed = 0;
    std::size_t running = 0;
    std::string last_failure;

private:
    void look_up()
    {
        if (m_is_stopping) {
            return;
        }
        ++running;
        http_request request;
        request.address = m_fleet.address_of(m_fleet.host_ids().back(), "lookup_address");
        request.path = "/lookup?service=order-desk";
        request.headers = {{"authorization", "Bearer " + m_key}};
        m_fleet.session().start(request, [this](const http_response& reply) {
            if (reply.status != 200) {
                fail("look-up", reply);
                return;
            }
            send_request(json::parse(reply.body).at("address"));
        });
    }

    void send_request(const std::string& address)
    {
        http_request request;
        request.address = address;
        request.authority = m_fleet.service_host_name("order-desk");
        request.path = "/slow?ms=50";
        request.headers = {{"authorization", "Bearer " + m_key}};
        m_fleet.session().start(request, [this](const http_response& reply) {
            if (!base::is_ok(reply.outcome) || reply.status != 200) {
                fail("request", reply);
                return;
            }
            --running;
            ++succeeded;
            look_up();
        });
    }

    void fail(const std::string& step, const http_response& reply)
    {
        --running;
        ++failed;
        last_failure = step + " status " + std::to_string(reply.status) + " " + reply.body;
        if (!base::is_ok(reply.outcome)) {
            last_failure += base::error_of(reply.outcome).detail;
        }
        look_up();
    }

    fleet& m_fleet;
    std::string m_key;
    bool m_is_stopping = false;
};

} // namespace

// Guards against a planned stop or a drain that aborts requests, and against requests that are
// still sent to a draining target.
TEST_CASE("planned maintenance of the fleet under load causes no failed requests")
{
    fleet fleet(one_domain());
    REQUIRE(fleet.await_ready(30s));
    fleet.document()["accounts"][0]["rate"] = 5000;
    fleet.document()["accounts"][0]["burst"] = 5000;
    REQUIRE(fleet.publish().status == 0);
    const std::string key = fleet.grant_key(fleet.document()["accounts"][0]["id"]);
    const std::string stopped = fleet.host_ids().front();
    for (const std::string& host : fleet.host_ids()) {
        REQUIRE(fleet.session().run_until(
            [&] {
                const http_request request = get_with_key("/slow?ms=1", key);
                return fleet.send(host, "order-desk", request).status == 200 &&
                       fleet.entry_dump(host)["versions"]["config"] == 2 &&
                       fleet.entry_dump(host)["shares"]["uses_full_share"] == true;
            },
            base::boot_clock::now() + 40s));
    }
    caller_group load(fleet, key, 8);
    REQUIRE(fleet.session().run_until([&] { return load.succeeded > 50; },
                                      base::boot_clock::now() + 20s));

    SUBCASE("an entry process leaves the look-ups after SIGTERM, completes its requests and exits "
            "with status 0")
    {
        process& entry = *fleet.host(stopped).entry_program;
        entry.send_signal(SIGTERM);
        CHECK(fleet.session().run_until([&] { return !entry.is_running(); },
                                        base::boot_clock::now() + 20s));
        CHECK(entry.wait_exit(base::boot_clock::now()) == 0);
        const std::size_t before = load.succeeded;
        CHECK(fleet.session().run_until([&] { return load.succeeded > before + 50; },
                                        base::boot_clock::now() + 20s));
    }
    SUBCASE("a drained target gets no new requests after at most 5 s")
    {
        const std::string target = fleet.document()["services"][0]["targets"][0]["id"];
        REQUIRE(fleet.ctl({"drain", "target", target}).status == 0);
        const base::time_point bound = base::boot_clock::now() + 5s;
        REQUIRE(fleet.session().run_until(
            [&] {
                for (const std::string& host : fleet.host_ids()) {
                    if (fleet.entry_dump(host)["versions"]["drains"] != 1) {
                        return false;
                    }
                }
                return true;
            },
            bound));
        const std::size_t before = load.succeeded;
        REQUIRE(fleet.session().run_until([&] { return load.succeeded > before + 8; },
                                          base::boot_clock::now() + 20s));
        const json at_drain = fleet.target_runs(target)["requests"];
        const std::size_t after = load.succeeded;
        REQUIRE(fleet.session().run_until([&] { return load.succeeded > after + 100; },
                                          base::boot_clock::now() + 30s));
        CHECK(fleet.target_runs(target)["requests"] == at_drain);
    }
    load.stop();
    CHECK(fleet.session().run_until([&] { return load.running == 0; },
                                    base::boot_clock::now() + 20s));
    CHECK_MESSAGE(load.failed == 0, load.last_failure);
}

// Guards against failed requests while the traffic of a drained failure domain moves to another
// domain.
TEST_CASE("the drain of a failure domain under load causes no failed requests")
{
    fleet_settings settings = one_domain();
    settings.failure_domains = {"tunis-a", "tunis-b"};
    settings.hosts_per_domain = 1;
    settings.edit = [](json& document) {
        add_test_routes(document);
        document["accounts"][0]["rate"] = 5000;
        document["accounts"][0]["burst"] = 5000;
    };
    fleet fleet(std::move(settings));
    REQUIRE(fleet.await_ready(30s));
    const std::string key = fleet.grant_key(fleet.document()["accounts"][0]["id"]);
    for (const std::string& host : fleet.host_ids()) {
        REQUIRE(fleet.session().run_until(
            [&] {
                return fleet.send(host, "order-desk", get_with_key("/slow?ms=1", key)).status ==
                       200;
            },
            base::boot_clock::now() + 40s));
    }
    const auto looked_up = [&] {
        const http_response reply = fleet.lookup(fleet.host_ids().back(), "order-desk", key);
        const json found = json::parse(reply.body, nullptr, false);
        return found.is_object() ? found.value("failure_domain", "") : std::string();
    };
    const std::string drained = looked_up();
    caller_group load(fleet, key, 8);
    REQUIRE(fleet.session().run_until([&] { return load.succeeded > 50; },
                                      base::boot_clock::now() + 20s));
    REQUIRE(fleet.ctl({"drain", "failure_domain", drained}).status == 0);
    // The shift cap limits the traffic that moves to another domain to 5 % per second.
    CHECK(fleet.session().run_until(
        [&] {
            const std::string now = looked_up();
            return !now.empty() && now != drained;
        },
        base::boot_clock::now() + 90s));
    const std::size_t before = load.succeeded;
    CHECK(fleet.session().run_until([&] { return load.succeeded > before + 100; },
                                    base::boot_clock::now() + 20s));
    load.stop();
    CHECK(fleet.session().run_until([&] { return load.running == 0; },
                                    base::boot_clock::now() + 20s));
    CHECK_MESSAGE(load.failed == 0, load.last_failure);
}
