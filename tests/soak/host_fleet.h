/// @file Starts the host processes of a soak run.
#pragma once

#include "base/time.h"
#include "tests/support/process.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace snipeshore::soak {

struct host_slot {
    std::string name;
    std::string ip;
    std::string settings_file;
    std::unique_ptr<test::process> running;
    base::time_point started{};
    bool is_suspended = false; ///< By SIGSTOP.
    bool is_ending = false;    ///< After SIGTERM or SIGKILL.
    std::size_t starts = 0;
};

class host_fleet {
public:
    /// With `earlier_program` set, half of the hosts start with it, and a host that starts again
    /// changes to the other program.
    host_fleet(std::string program, std::string earlier_program, const std::string& directory,
               std::size_t hosts, const std::string& store_address);

    void start(std::size_t index);

    /// Writes a settings file whose retry budget differs by `change` from the initial one.
    void write_settings(std::size_t index, int change) const;

    std::string entry_address(std::size_t index) const;
    std::string lookup_address(std::size_t index) const;

    std::vector<host_slot> slots;

private:
    std::string m_program;
    std::string m_earlier_program;
    std::string m_directory;
    std::string m_store_address;
};

} // namespace snipeshore::soak
