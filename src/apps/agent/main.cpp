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

DEFINE_string(inner_listen, "", "Address for inner links, ip:port.");
DEFINE_string(lookup_address, "", "Address of this host's lookup for callers, ip:port.");
DEFINE_string(entry_address, "", "Address of this host's entry for callers, ip:port.");
DEFINE_string(entry_inner_address, "", "Inner address of this host's entry, ip:port.");
DEFINE_string(platform, "", "Address of the platform's table, objects and host list, ip:port.");
DEFINE_string(seed_agents, "",
              "Inner addresses of other agents, separated by commas, to ask while the platform's "
              "host list cannot be read.");
DEFINE_int32(stop_deadline_ms, 10000, "Longest time of a planned stop.");

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

/// Orders the lives of an agent in most cases; where the wall clock was set back, the host raises
/// its incarnation when it learns of its earlier record.
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
    gflags::SetUsageMessage("keeps documents, membership and steering decisions of one host");
    const std::vector<std::string> unusable = settings::load(&argc, &argv);
    if (apps::report_problems({unusable, apps::check_process_flags(), check_settings()})) {
        return 1;
    }
    return apps::run_app<apps::agent_app>("agent", make_settings());
}
