/// @file snipeshore-entry: forwards requests of callers to targets.

#include "apps/common/process_flags.h"
#include "apps/common/run_app.h"
#include "apps/entry/entry_app.h"

#include <gflags/gflags.h>

DEFINE_string(listen, "", "Listen address for callers, ip:port.");
DEFINE_string(inner_listen, "", "Listen address for other processes of the fleet, ip:port.");
DEFINE_string(agent, "", "Inner address of this host's agent, ip:port.");
DEFINE_int32(stop_deadline_ms, 30000, "Maximum duration of a planned stop, in milliseconds.");
DEFINE_int32(leave_delay_ms, 6000,
             "Time during which a planned stop still accepts requests; longer than callers cache a "
             "look-up.");
DEFINE_int32(max_requests, 4096,
             "Maximum number of requests in progress; further requests are refused.");

namespace {

using namespace snipeshore;

std::vector<std::string> check_settings()
{
    settings::validator checks;
    checks.address("listen", FLAGS_listen, true)
        .address("inner_listen", FLAGS_inner_listen, true)
        .address("agent", FLAGS_agent, true)
        .range("stop_deadline_ms", FLAGS_stop_deadline_ms, 100, 3'600'000)
        .range("leave_delay_ms", FLAGS_leave_delay_ms, 0, FLAGS_stop_deadline_ms)
        .range("max_requests", FLAGS_max_requests, 1, 1'000'000);
    return checks.problems();
}

apps::entry_settings make_settings()
{
    const apps::process_settings process = apps::read_process_flags();
    apps::entry_settings settings;
    settings.identity = {process.host, process.failure_domain, process.fleet_secret};
    settings.server = process.server;
    settings.server.address = FLAGS_listen;
    settings.node = process.node;
    settings.node.listen_address = FLAGS_inner_listen;
    settings.agent_address = FLAGS_agent;
    settings.admin_address = process.admin_address;
    settings.stop_deadline = std::chrono::milliseconds(FLAGS_stop_deadline_ms);
    settings.leave_delay = std::chrono::milliseconds(FLAGS_leave_delay_ms);
    settings.max_tasks = static_cast<std::size_t>(FLAGS_max_requests);
    return settings;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("forwards requests of callers to targets");
    const std::vector<std::string> unusable = settings::load(&argc, &argv);
    if (apps::report_problems({unusable, apps::check_process_flags(), check_settings()})) {
        return 1;
    }
    return apps::run_app<apps::entry_app>("entry", make_settings());
}
