/// @file Options, arguments and streams of a subcommand.
#pragma once

#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace snipeshore::apps {

struct ctl_options {
    std::string platform;
    std::string client_id = "snipeshorectl";
    std::string secret; ///< Fleet secret; never printed.
    bool json = false;
    std::uint64_t above_version = 0;
    std::optional<std::uint64_t> base_version;
    std::chrono::milliseconds retry_timeout{30000};
    std::chrono::milliseconds call_deadline{3000};
    std::vector<std::string> admin_addresses;
    std::string config_file; ///< Used instead of the published configuration.
};

struct command_context {
    const ctl_options& options;
    const std::vector<std::string>& arguments; ///< Arguments after the name of the subcommand.
    std::istream& in;
    std::ostream& out;
    std::ostream& err;
};

} // namespace snipeshore::apps
