/// @file Counts failed requests during planned stops and drains. Then sends non-idempotent requests
/// under a seeded schedule of kills, freezes, restarts and store outages and counts duplicate runs
/// and false "not run" responses.

#include "bench/support/reporter.h"
#include "tests/support/fleet.h"
#include "tests/system/test_routes.h"

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <stdexcept>

DEFINE_uint64(seed, 20261204, "Seed of the fault schedule.");
DEFINE_uint64(faults, 24, "Number of faults.");

namespace {

using namespace snipeshore;
using namespace snipeshore::test;
using namespace std::chrono_literals;
using nlohmann::json;

constexpr std::size_t max_attempts = 4; ///< Per request, all with the same ticket.

fleet_settings faulty_fleet()
{
    fleet_settings settings;
    settings.failure_domains = {"tunis-a", "sfax-a", "sousse-a"};
    settings.hosts_per_domain = 2;
    settings.targets_per_domain = 2;
    settings.target_flags = {"--slots=100", "--queue=1000"};
    settings.edit = [](json& document) {
        add_test_routes(document);
        document["accounts"][0]["rate"] = 5000;
        document["accounts"][0]["burst"] = 5000;
    };
    return settings;
}

/// Callers that each send one non-idempotent request at a time. While its outcome is unknown, a
/// caller repeats the request with the same ticket at a randomly chosen host.
class non_idempotent_callers {
public:
    non_idempotent_callers(fleet& fleet, std::string key, std::size_t count, std::uint64_t seed)
        : m_fleet(fleet), m_key(std::move(key)), m_random(seed)
    {
        for (std::size_t index = 0; index < count; ++index) {
            begin();
        }
    }

    void stop()
    {
        m_is_stopping = true;
    }

    std::size_t running = 0;
    std::size_t sent = 0;
    std::size_t succeeded = 0;
    std::size_t unknown = 0;
    std::set<std::string> reported_not_run;

private:
    struct order {
        std::string body;
        std::string ticket;
        std::size_t attempts = 0;
    };

    std::string any_host()
    {
        const std::vector<std::string> hosts = m_fleet.host_ids();
        return hosts[m_random() % hosts.size()];
    }

    void begin()
    {
        if (m_is_stopping) {
            return;
        }
        ++running;
        http_request request;
        request.address = m_fleet.address_of(any_host(), "lookup_address");
        request.path = "/lookup?service=order-desk&once=1";
        request.headers = {{"authorization", "Bearer " + m_key}};
        request.timeout = 3000ms;
        m_fleet.session().start(request, [this](const http_response& reply) {
            const json found = json::parse(reply.body, nullptr, false);
            if (reply.status != 200 || !found.is_object()) {
                finish();
                return;
            }
            const auto current = std::make_shared<order>();
            current->body = "order-" + std::to_string(m_next++);
            current->ticket = found.at("ticket").get<std::string>();
            send(current, found.at("address"));
        });
    }

    void finish()
    {
        --running;
        m_fleet.session().loop().schedule(base::boot_clock::now() + 20ms, [this] { begin(); });
    }

    void send(const std::shared_ptr<order>& current, const std::string& address)
    {
        ++sent;
        ++current->attempts;
        http_request request;
        request.address = address;
        request.authority = m_fleet.service_host_name("order-desk");
        request.method = "POST";
        request.path = "/run?ms=20";
        request.headers = {{"authorization", "Bearer " + m_key},
                           {"snipeshore-ticket", current->ticket}};
        request.body = current->body;
        request.timeout = 4000ms;
        m_fleet.session().start(
            request, [this, current](const http_response& reply) { on_reply(current, reply); });
    }

    void on_reply(const std::shared_ptr<order>& current, const http_response& reply)
    {
        if (base::is_ok(reply.outcome) && reply.status == 200) {
            ++succeeded;
            finish();
            return;
        }
        if (reply.header("snipeshore-not-run") == "1") {
            reported_not_run.insert(current->body);
            finish();
            return;
        }
        if (current->attempts >= max_attempts) {
            ++unknown;
            finish();
            return;
        }
        send(current, m_fleet.address_of(any_host(), "entry_address"));
    }

    fleet& m_fleet;
    std::string m_key;
    std::mt19937_64 m_random;
    std::uint64_t m_next = 1;
    bool m_is_stopping = false;
};

void run_for(fleet& fleet, std::chrono::milliseconds time)
{
    fleet.session().run_until([] { return false; }, base::boot_clock::now() + time);
}

void kill_and_restart_entry(fleet& fleet, host_processes& host)
{
    host.entry_program->send_signal(SIGKILL);
    host.entry_program->wait_exit(base::boot_clock::now() + 5s);
    run_for(fleet, 300ms);
    fleet.start_entry(host);
}

void kill_and_restart_agent(fleet& fleet, host_processes& host)
{
    host.agent->send_signal(SIGKILL);
    host.agent->wait_exit(base::boot_clock::now() + 5s);
    run_for(fleet, 300ms);
    fleet.start_agent(host);
}

void freeze(fleet& fleet, process& frozen)
{
    frozen.send_signal(SIGSTOP);
    run_for(fleet, 3s);
    frozen.send_signal(SIGCONT);
}

void cause_fault(fleet& fleet, std::mt19937_64& random)
{
    const std::vector<std::string> hosts = fleet.host_ids();
    host_processes& host = fleet.host(hosts[random() % hosts.size()]);
    switch (random() % 6) {
    case 0:
    case 1:
        kill_and_restart_entry(fleet, host);
        break;
    case 2:
        kill_and_restart_agent(fleet, host);
        break;
    case 3:
        freeze(fleet, *host.entry_program);
        break;
    case 4:
        freeze(fleet, *host.agent);
        break;
    default:
        fleet.set_platform_faults({{"down", true}});
        kill_and_restart_entry(fleet, host);
        fleet.set_platform_faults({{"down", false}});
        break;
    }
    run_for(fleet, 500ms);
}

/// Returns the number of runs per request body, summed over all targets.
std::map<std::string, std::size_t> count_runs(fleet& fleet)
{
    std::map<std::string, std::size_t> counts;
    for (const json& service : fleet.document()["services"]) {
        for (const json& target : service["targets"]) {
            const json response = fleet.target_runs(target["id"]);
            for (const auto& [body, count] : response.at("runs").items()) {
                counts[body] += count.get<std::size_t>();
            }
        }
    }
    return counts;
}

void measure_non_idempotent(fleet& fleet, const std::string& key, bench::reporter& report)
{
    std::mt19937_64 random(FLAGS_seed);
    non_idempotent_callers callers(fleet, key, 16, FLAGS_seed + 1);
    run_for(fleet, 1s);
    for (std::uint64_t fault = 0; fault < FLAGS_faults; ++fault) {
        cause_fault(fleet, random);
    }
    callers.stop();
    fleet.session().run_until([&] { return callers.running == 0; }, base::boot_clock::now() + 60s);
    const std::map<std::string, std::size_t> runs = count_runs(fleet);
    std::size_t duplicate_runs = 0;
    for (const auto& [body, count] : runs) {
        duplicate_runs += count > 1 ? 1 : 0;
    }
    std::size_t false_refusals = 0;
    for (const std::string& body : callers.reported_not_run) {
        false_refusals += runs.contains(body) ? 1 : 0;
    }
    report.information("once_requests_answered", static_cast<double>(callers.succeeded),
                       "requests");
    report.information("once_requests_unknown", static_cast<double>(callers.unknown), "requests");
    report.information("once_requests_not_run",
                       static_cast<double>(callers.reported_not_run.size()), "requests");
    report.at_least("once_requests_sent", static_cast<double>(callers.sent), "requests", 1000);
    report.at_most("double_runs", static_cast<double>(duplicate_runs), "requests", 0);
    report.at_most("false_not_run", static_cast<double>(false_refusals), "requests", 0);
}

/// Callers that cache a look-up response for its `cache_s`, as clients do.
class reading_callers {
public:
    reading_callers(fleet& fleet, std::string key, std::size_t count)
        : m_fleet(fleet), m_key(std::move(key)), m_callers(count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            next(index);
        }
    }

    void stop()
    {
        m_is_stopping = true;
    }

    std::size_t running = 0;
    std::size_t succeeded = 0;
    std::size_t failures = 0;
    std::string last_failure;

private:
    struct caller {
        std::string address;
        base::time_point lookup_expires_at{};
    };

    void next(std::size_t index)
    {
        if (m_is_stopping) {
            return;
        }
        ++running;
        if (base::boot_clock::now() < m_callers[index].lookup_expires_at) {
            send_request(index);
            return;
        }
        http_request request;
        request.address = m_fleet.address_of(m_fleet.host_ids().back(), "lookup_address");
        request.path = "/lookup?service=order-desk";
        request.headers = {{"authorization", "Bearer " + m_key},
                           {"snipeshore-client-address",
                            "127.0." + std::to_string(index) + "." + std::to_string(index)}};
        const base::time_point sent = base::boot_clock::now();
        m_fleet.session().start(request, [this, index, sent](const http_response& reply) {
            const json found = json::parse(reply.body, nullptr, false);
            if (reply.status != 200 || !found.is_object()) {
                end(index, reply);
                return;
            }
            m_callers[index].address = found.at("address");
            m_callers[index].lookup_expires_at =
                sent + std::chrono::seconds(found.at("cache_s").get<int>());
            send_request(index);
        });
    }

    void send_request(std::size_t index)
    {
        http_request request;
        request.address = m_callers[index].address;
        request.authority = m_fleet.service_host_name("order-desk");
        request.path = "/slow?ms=30";
        request.headers = {{"authorization", "Bearer " + m_key}};
        m_fleet.session().start(request,
                                [this, index](const http_response& reply) { end(index, reply); });
    }

    void end(std::size_t index, const http_response& reply)
    {
        --running;
        if (base::is_ok(reply.outcome) && reply.status == 200) {
            ++succeeded;
        } else {
            ++failures;
            last_failure = m_callers[index].address + " status " + std::to_string(reply.status) +
                           " " + reply.body;
        }
        m_fleet.session().loop().schedule(base::boot_clock::now() + 5ms,
                                          [this, index] { next(index); });
    }

    fleet& m_fleet;
    std::string m_key;
    std::vector<caller> m_callers;
    bool m_is_stopping = false;
};

void stop_and_restart_entry(fleet& fleet, host_processes& host)
{
    host.entry_program->send_signal(SIGTERM);
    const bool has_ended = fleet.session().run_until(
        [&] { return !host.entry_program->is_running(); }, base::boot_clock::now() + 30s);
    if (!has_ended || host.entry_program->wait_exit(base::boot_clock::now()) != 0) {
        throw std::runtime_error("entry on " + host.id + " did not stop with status 0");
    }
    fleet.start_entry(host);
    fleet.session().run_until(
        [&] {
            const json dump = fleet.entry_dump(host.id);
            return dump.is_object() && dump["shares"]["uses_full_share"] == true;
        },
        base::boot_clock::now() + 30s);
}

void measure_planned_maintenance(fleet& fleet, const std::string& key, bench::reporter& report)
{
    reading_callers callers(fleet, key, 24);
    run_for(fleet, 2s);
    const std::vector<std::string> hosts = fleet.host_ids();
    for (std::size_t index = 0; index + 1 < hosts.size(); index += 2) {
        stop_and_restart_entry(fleet, fleet.host(hosts[index]));
    }
    for (const json& service : fleet.document()["services"]) {
        fleet.ctl({"drain", "target", service["targets"][0]["id"]});
        run_for(fleet, 2s);
    }
    callers.stop();
    fleet.session().run_until([&] { return callers.running == 0; }, base::boot_clock::now() + 60s);
    if (callers.failures > 0) {
        std::cerr << "last failed request: " << callers.last_failure << '\n';
    }
    report.at_least("planned_work_answered", static_cast<double>(callers.succeeded), "requests",
                    1000);
    report.at_most("cut_requests", static_cast<double>(callers.failures), "requests", 0);
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    bench::reporter report;
    std::printf("seed %llu\n", static_cast<unsigned long long>(FLAGS_seed));
    try {
        fleet fleet(faulty_fleet());
        if (!fleet.await_ready(120s)) {
            throw std::runtime_error("fleet not ready within 120 s");
        }
        const std::string key = fleet.grant_key(fleet.document()["accounts"][0]["id"]);
        for (const std::string& host : fleet.host_ids()) {
            fleet.session().run_until(
                [&] {
                    http_request request;
                    request.path = "/echo";
                    request.headers = {{"authorization", "Bearer " + key}};
                    return fleet.send(host, "order-desk", request).status == 200;
                },
                base::boot_clock::now() + 30s);
        }
        measure_planned_maintenance(fleet, key, report);
        measure_non_idempotent(fleet, key, report);
    } catch (const std::exception& failure) {
        std::cerr << "error: " << failure.what() << '\n';
        return 1;
    }
    return report.exit_status();
}
