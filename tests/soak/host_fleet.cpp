#include "tests/soak/host_fleet.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <unistd.h>
#include <utility>

namespace snipeshore::soak {

namespace {

using nlohmann::json;

constexpr int entry_port = 18668;
constexpr int ready_port = 18666;
constexpr int control_port = 18667;
constexpr int lookup_port = 18665;
constexpr int metrics_port = 17220;

/// Each host has its own loopback address. The process id is part of it, so that concurrent soak
/// runs use different addresses in most cases.
std::string ip_of(std::size_t index)
{
    const auto offset = static_cast<unsigned>(getpid()) % 200 + 20;
    return "127.77." + std::to_string(offset) + "." + std::to_string(index + 1);
}

std::string at(const std::string& ip, int port)
{
    return ip + ":" + std::to_string(port);
}

} // namespace

host_fleet::host_fleet(std::string program, std::string earlier_program,
                       const std::string& directory, std::size_t hosts,
                       const std::string& store_address)
    : m_program(std::move(program)), m_earlier_program(std::move(earlier_program)),
      m_directory(directory), m_store_address(store_address)
{
    for (std::size_t index = 0; index < hosts; ++index) {
        host_slot slot;
        slot.name = "h" + std::to_string(index);
        slot.ip = ip_of(index);
        slot.settings_file = directory + "/" + slot.name + ".json";
        slots.push_back(std::move(slot));
        write_settings(index, 0);
    }
}

void host_fleet::write_settings(std::size_t index, int change) const
{
    const host_slot& slot = slots[index];
    const json settings{{"nodeName", slot.name},
                        {"ip", slot.ip},
                        {"zone", "z1"},
                        {"zones", {{"z1", "north"}}},
                        {"listen",
                         {{"front", at(slot.ip, entry_port)},
                          {"readiness", at(slot.ip, ready_port)},
                          {"control", at(slot.ip, control_port)},
                          {"directory", at(slot.ip, lookup_port)}}},
                        {"portRange", {metrics_port, metrics_port + 15}},
                        {"bounds",
                         {"grace=6s", "quotaOverage=0.1", "quotaSlack=20", "quotaWindow=5s",
                          "retryBudgetRatio=0.2", "budgetExtra=" + std::to_string(60 + change)}},
                        {"platform", {{"address", m_store_address}}}};
    // A host that starts or reloads at this moment must not read half a file.
    const std::string written = slot.settings_file + ".new";
    std::ofstream(written) << settings.dump();
    std::filesystem::rename(written, slot.settings_file);
}

void host_fleet::start(std::size_t index)
{
    host_slot& slot = slots[index];
    setenv("SNIPESHORE_CONFIG", slot.settings_file.c_str(), 1);
    const bool is_earlier = !m_earlier_program.empty() && (index + slot.starts++) % 2 == 1;
    slot.running = std::make_unique<test::process>(is_earlier ? m_earlier_program : m_program,
                                                   std::vector<std::string>{},
                                                   m_directory + "/" + slot.name + ".log");
    slot.started = base::boot_clock::now();
    slot.is_suspended = false;
    slot.is_ending = false;
}

std::string host_fleet::entry_address(std::size_t index) const
{
    return at(slots[index].ip, entry_port);
}

std::string host_fleet::lookup_address(std::size_t index) const
{
    return at(slots[index].ip, lookup_port);
}

} // namespace snipeshore::soak
