#include "tests/soak/host_fleet.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
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

host_fleet::host_fleet(std::string program, const std::string& directory, std::size_t hosts,
                       const std::string& store_address)
    : m_program(std::move(program)), m_directory(directory)
{
    for (std::size_t index = 0; index < hosts; ++index) {
        host_slot slot;
        slot.name = "h" + std::to_string(index);
        slot.ip = ip_of(index);
        slot.settings_file = directory + "/" + slot.name + ".json";
        write_settings(slot, store_address);
        slots.push_back(std::move(slot));
    }
}

void host_fleet::write_settings(const host_slot& slot, const std::string& store_address) const
{
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
                          "retryBudgetRatio=0.2", "budgetExtra=60"}},
                        {"platform", {{"address", store_address}}}};
    std::ofstream(slot.settings_file) << settings.dump();
}

void host_fleet::start(std::size_t index)
{
    host_slot& slot = slots[index];
    setenv("SNIPESHORE_CONFIG", slot.settings_file.c_str(), 1);
    slot.running = std::make_unique<test::process>(m_program, std::vector<std::string>{},
                                                   m_directory + "/" + slot.name + ".log");
    slot.is_paused = false;
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
