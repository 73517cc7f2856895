/// @file snipeshore-lookup: responds to look-ups with the entry host that the caller should use.

#include "apps/common/process_flags.h"
#include "apps/common/run_app.h"
#include "apps/lookup/lookup_app.h"

#include <gflags/gflags.h>

DEFINE_string(listen, "", "Listen address for callers, ip:port.");
DEFINE_string(agent, "", "Inner address of this host's agent, ip:port.");
DEFINE_bool(
    trust_client_header, false,
    "Use the caller address given in Snipeshore-Client-Address; only safe behind a resolver.");
DEFINE_int32(stop_deadline_ms, 10000, "Maximum duration of a planned stop, in milliseconds.");

namespace {

using namespace snipeshore;

std::vector<std::string> check_settings()
{
    settings::validator checks;
    checks.address("listen", FLAGS_listen, true)
        .address("agent", FLAGS_agent, true)
        .range("stop_deadline_ms", FLAGS_stop_deadline_ms, 100, 3'600'000);
    return checks.problems();
}

apps::lookup_settings make_settings()
{
    const apps::process_settings process = apps::read_process_flags();
    apps::lookup_settings settings;
    settings.host = process.host;
    settings.failure_domain = process.failure_domain;
    settings.server = process.server;
    settings.server.address = FLAGS_listen;
    settings.node = process.node;
    settings.agent_address = FLAGS_agent;
    settings.admin_address = process.admin_address;
    settings.fleet_secret = process.fleet_secret;
    settings.trust_client_header = FLAGS_trust_client_header;
    settings.stop_deadline = std::chrono::milliseconds(FLAGS_stop_deadline_ms);
    return settings;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("responds to look-ups with the entry host that the caller should use");
    const std::vector<std::string> unusable = settings::load(&argc, &argv);
    if (apps::report_problems({unusable, apps::check_process_flags(), check_settings()})) {
        return 1;
    }
    return apps::run_app<apps::lookup_app>("lookup", make_settings());
}
