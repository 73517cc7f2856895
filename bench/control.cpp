/// @file Measures how long configuration changes, key withdrawals and drains take to come into
/// force, and the idle cost of the control plane, on a fleet of real processes.

#include "bench/support/reporter.h"
#include "tests/support/fleet.h"
#include "tests/system/test_routes.h"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <stdexcept>

namespace {

using namespace snipeshore;
using namespace snipeshore::test;
using namespace std::chrono_literals;
using nlohmann::json;

constexpr double mib = 1U << 20U;

fleet_settings all_hosts()
{
    fleet_settings settings;
    settings.failure_domains = {"tunis-a", "tunis-b", "sfax-a", "sfax-b", "sousse-a", "sousse-b"};
    settings.hosts_per_domain = 2;
    settings.targets_per_domain = 1;
    settings.edit = add_test_routes;
    return settings;
}

double seconds_since(base::time_point started_at)
{
    return std::chrono::duration<double>(base::boot_clock::now() - started_at).count();
}

bool has_version(fleet& fleet, const std::string& host, const std::string& name,
                 std::uint64_t version)
{
    const json dump = fleet.entry_dump(host);
    return dump.is_object() && dump["versions"][name] == version;
}

/// Returns the seconds from `started_at` until every entry reports the version.
double await_version(fleet& fleet, const std::string& name, std::uint64_t version,
                     base::time_point started_at)
{
    for (const std::string& host : fleet.host_ids()) {
        const bool reached = fleet.session().run_until(
            [&] { return has_version(fleet, host, name, version); }, base::boot_clock::now() + 60s);
        if (!reached) {
            throw std::runtime_error(name + " did not come into force on " + host);
        }
    }
    return seconds_since(started_at);
}

void measure_configuration(fleet& fleet, bench::reporter& report)
{
    constexpr int changes = 20;
    std::vector<double> times;
    for (int change = 0; change < changes; ++change) {
        fleet.document()["accounts"][0]["rate"] = 100 + change;
        const base::time_point started_at = base::boot_clock::now();
        if (fleet.publish().status != 0) {
            throw std::runtime_error("publish failed");
        }
        times.push_back(
            await_version(fleet, "config", static_cast<std::uint64_t>(change) + 2, started_at));
    }
    std::sort(times.begin(), times.end());
    report.information("config_in_force_p50_s", times[times.size() / 2], "s");
    report.at_most("config_in_force_p99_s", times.back(), "s", 15);
}

void measure_keys(fleet& fleet, bench::reporter& report)
{
    constexpr int rounds = 5;
    double worst = 0;
    for (int round = 0; round < rounds; ++round) {
        const std::string key = fleet.grant_key(fleet.document()["accounts"][0]["id"]);
        const auto status_at = [&](const std::string& host) {
            http_request request;
            request.path = "/echo";
            request.headers = {{"authorization", "Bearer " + key}};
            return fleet.send(host, "order-desk", request).status;
        };
        for (const std::string& host : fleet.host_ids()) {
            fleet.session().run_until([&] { return status_at(host) != 401; },
                                      base::boot_clock::now() + 30s);
        }
        const base::time_point started_at = base::boot_clock::now();
        if (fleet.withdraw_key(key).status != 0) {
            throw std::runtime_error("keys withdraw failed");
        }
        for (const std::string& host : fleet.host_ids()) {
            fleet.session().run_until([&] { return status_at(host) == 401; },
                                      base::boot_clock::now() + 60s);
        }
        worst = std::max(worst, seconds_since(started_at));
    }
    report.at_most("key_withdrawn_max_s", worst, "s", 5);
}

json store_stats(fleet& fleet)
{
    return json::parse(
        fleet.session().send({.address = fleet.platform_address(), .path = "/stats"}).body);
}

void idle_for(fleet& fleet, std::chrono::seconds time)
{
    fleet.session().run_until([] { return false; }, base::boot_clock::now() + time);
}

void measure_idle_cost(fleet& fleet, bench::reporter& report)
{
    constexpr auto length = 10s;
    constexpr double seconds = 10;
    std::vector<std::chrono::microseconds> before;
    std::vector<json> dumps_before;
    for (const std::string& host : fleet.host_ids()) {
        before.push_back(cpu_time(fleet.host(host).agent->pid()));
        dumps_before.push_back(fleet.agent_dump(host));
    }
    const json store_before = store_stats(fleet);
    idle_for(fleet, length);
    const json store_after = store_stats(fleet);
    double cpu = 0;
    double rss = 0;
    std::size_t index = 0;
    for (const std::string& host : fleet.host_ids()) {
        const pid_t pid = fleet.host(host).agent->pid();
        const std::chrono::duration<double> used = cpu_time(pid) - before[index];
        cpu = std::max(cpu, used.count() / seconds * 100);
        rss = std::max(rss, static_cast<double>(resident_bytes(pid)) / mib);
        ++index;
    }
    report.at_most("control_cpu_percent_idle", cpu, "%", 1.9);
    report.at_most("control_rss_mib_idle", rss, "MiB", 64);
    const auto per_second = [&](const char* name) {
        return (store_after.value(name, 0.0) - store_before.value(name, 0.0)) / seconds;
    };
    report.at_most("store_reads_per_s_12_hosts", per_second("reads"), "1/s", 2000);
    report.at_most("store_writes_per_s_12_hosts", per_second("writes"), "1/s", 300);
}

void measure_drain(fleet& fleet, bench::reporter& report)
{
    const std::string target = fleet.document()["services"][0]["targets"][0]["id"];
    const base::time_point started_at = base::boot_clock::now();
    if (fleet.ctl({"drain", "target", target}).status != 0) {
        throw std::runtime_error("drain failed");
    }
    report.at_most("drain_s", await_version(fleet, "drains", 1, started_at), "s", 5);
}

} // namespace

int main()
{
    bench::reporter report;
    try {
        fleet fleet(all_hosts());
        if (!fleet.await_ready(120s)) {
            throw std::runtime_error("fleet not ready within 120 s");
        }
        measure_idle_cost(fleet, report);
        measure_configuration(fleet, report);
        measure_keys(fleet, report);
        measure_drain(fleet, report);
    } catch (const std::exception& failure) {
        std::cerr << "error: " << failure.what() << '\n';
        return 1;
    }
    return report.exit_status();
}
