/// @file snipeshore-agent: documents, membership and steering decisions of one host.

#include "apps/agent/agent_app.h"
#include "apps/common/process_flags.h"
#include "apps/common/run_app.h"

#include <gflags/gflags.h>

#include <chrono>
#include <cstdint>
#include <sstream>
#include <string>
#include <vector>

DEFINE_string(inner_listen, "", "Listen address for internal RPC connections, ip:port.");
DEFINE_string(lookup_address, "",
              "Address of this host's lookup that callers connect to, ip:port.");
DEFINE_string(entry_address, "", "Address of this host's entry that callers connect to, ip:port.");
DEFINE_string(entry_inner_address, "", "Internal RPC address of this host's entry, ip:port.");
DEFINE_string(platform, "", "Address of the platform's table, objects and host list, ip:port.");
DEFINE_string(
    seed_agents, "",
    "Internal RPC addresses of other agents, separated by commas, to contact in addition to "
    "the platform's host list, so that this host can start while the list cannot be read.");
DEFINE_int32(stop_deadline_ms, 10000, "Maximum duration of a planned stop, in milliseconds.");

namespace {

using namespace snipeshore;

std::vector<std::string> seed_agents()
{
    std::vector<std::string> addresses;
    std::istringstream list(FLAGS_seed_agents);
    for (std::string address; std::getline(list, address, ',');) {
        addresses.push_back(address);
    }
    return addresses;
}

std::vector<std::string> check_settings()
{
    settings::validator checks;
    checks.address("inner_listen", FLAGS_inner_listen, true)
        .address("lookup_address", FLAGS_lookup_address, true)
        .address("entry_address", FLAGS_entry_address, true)
        .address("entry_inner_address", FLAGS_entry_inner_address, true)
        .address("platform", FLAGS_platform, true)
        .range("stop_deadline_ms", FLAGS_stop_deadline_ms, 500, 3'600'000);
    for (const std::string& address : seed_agents()) {
        checks.address("seed_agents", address, true);
    }
    return checks.problems();
}

/// Wall-clock time, so that an agent normally has a higher incarnation after a restart. If the
/// clock was set back, the host raises its incarnation when it receives its earlier record.
base::incarnation start_incarnation()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return base::incarnation(static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count()));
}

apps::agent_app_settings make_settings()
{
    const apps::process_settings process = apps::read_process_flags();
    apps::agent_app_settings settings;
    inner::host_record& self = settings.core.self;
    self.host = process.host;
    self.failure_domain = process.failure_domain;
    self.incarnation = start_incarnation();
    self.agent_address = FLAGS_inner_listen;
    self.lookup_address = FLAGS_lookup_address;
    self.entry_address = FLAGS_entry_address;
    self.entry_inner_address = FLAGS_entry_inner_address;
    settings.core.seed = self.incarnation.value();
    settings.core.seed_addresses = seed_agents();
    settings.node = process.node;
    settings.node.listen_address = FLAGS_inner_listen;
    settings.platform_address = FLAGS_platform;
    settings.admin_address = process.admin_address;
    settings.stop_deadline = std::chrono::milliseconds(FLAGS_stop_deadline_ms);
    return settings;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "maintains the documents, membership and steering decisions of one host");
    const std::vector<std::string> load_problems = settings::load(&argc, &argv);
    if (apps::report_problems({load_problems, apps::check_process_flags(), check_settings()})) {
        return 1;
    }
    return apps::run_app<apps::agent_app>("agent", make_settings());
}
