/// @file What a subcommand works with.
#pragma once

#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace snipeshore::apps {

struct ctl_options {
    std::string store_address;
    std::string client_id = "snipeshorectl";
    std::string secret; ///< Fleet secret; never printed.
    bool json = false;
    std::uint64_t above = 0;
    std::optional<std::uint64_t> base;
    std::chrono::milliseconds give_up_after{30000};
    std::chrono::milliseconds call_deadline{3000};
    std::vector<std::string> admin_addresses;
    std::string config_file; ///< Takes the place of the published configuration.
};

struct command_context {
    const ctl_options& options;
    const std::vector<std::string>& arguments; ///< Without the name of the subcommand.
    std::istream& in;
    std::ostream& out;
    std::ostream& err;
};

} // namespace snipeshore::apps
