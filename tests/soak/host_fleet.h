/// @file Starts the host processes of a soak run.
#pragma once

#include "tests/support/process.h"

#include <memory>
#include <string>
#include <vector>

namespace snipeshore::soak {

struct host_slot {
    std::string name;
    std::string ip;
    std::string settings_file;
    std::unique_ptr<test::process> running;
    bool is_paused = false;
};

class host_fleet {
public:
    host_fleet(std::string program, const std::string& directory, std::size_t hosts,
               const std::string& store_address);

    void start(std::size_t index);

    std::string entry_address(std::size_t index) const;
    std::string lookup_address(std::size_t index) const;

    std::vector<host_slot> slots;

private:
    void write_settings(const host_slot& slot, const std::string& store_address) const;

    std::string m_program;
    std::string m_directory;
};

} // namespace snipeshore::soak
