/// @file snipeshorectl: command-line tool for operators.
#include "apps/ctl/command_context.h"
#include "apps/ctl/commands.h"
#include "settings/settings.h"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <sstream>

DEFINE_string(platform, "", "Address of the platform's store, ip:port.");
DEFINE_string(client_id, "snipeshorectl", "Client name sent to the store.");
DEFINE_bool(json, false, "Print JSON instead of tables and text.");
DEFINE_int64(timeout_ms, 30000, "Time in ms for which failed calls are retried.");
DEFINE_int64(call_timeout_ms, 3000, "Time limit in ms of one call.");
DEFINE_string(fleet_secret_file, "", "File with the secret of the fleet.");
DEFINE_int64(base, -1, "Publish only if this version is in force; -1: any version.");
DEFINE_uint64(above, 0, "Publish with a version higher than this one.");
DEFINE_string(admin, "", "Admin addresses, separated by commas.");
DEFINE_string(config_file, "", "Configuration file with the admin addresses.");

using namespace snipeshore;

namespace {

constexpr std::int64_t max_timeout_ms = 3'600'000;

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    std::string part;
    while (std::getline(stream, part, ',')) {
        if (!part.empty()) {
            parts.push_back(part);
        }
    }
    return parts;
}

/// The secret is not a flag because command lines are visible to other users.
std::string read_secret()
{
    if (!FLAGS_fleet_secret_file.empty()) {
        return settings::read_text_file(FLAGS_fleet_secret_file);
    }
    const char* value = std::getenv("SNIPESHORE_FLEET_SECRET");
    return value == nullptr ? "" : value;
}

apps::ctl_options read_options()
{
    apps::ctl_options options;
    options.platform = FLAGS_platform;
    options.client_id = FLAGS_client_id;
    options.secret = read_secret();
    options.json = FLAGS_json;
    options.above_version = FLAGS_above;
    if (FLAGS_base >= 0) {
        options.base_version = static_cast<std::uint64_t>(FLAGS_base);
    }
    options.retry_timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
    options.call_deadline = std::chrono::milliseconds(FLAGS_call_timeout_ms);
    options.admin_addresses = split(FLAGS_admin);
    options.config_file = FLAGS_config_file;
    return options;
}

std::vector<std::string> check_flags()
{
    settings::validator checks;
    checks.address("platform", FLAGS_platform, false)
        .readable_file("fleet_secret_file", FLAGS_fleet_secret_file)
        .range("timeout_ms", FLAGS_timeout_ms, 0, max_timeout_ms)
        .range("call_timeout_ms", FLAGS_call_timeout_ms, 1, max_timeout_ms);
    for (const std::string& address : split(FLAGS_admin)) {
        checks.address("admin", address, true);
    }
    return checks.problems();
}

/// The arguments without flags, followed by --help, if they contain a help flag.
std::optional<std::vector<std::string>> command_with_help(const std::vector<std::string>& raw)
{
    std::vector<std::string> command;
    bool has_help_flag = false;
    for (const std::string& argument : raw) {
        has_help_flag =
            has_help_flag || argument == "--help" || argument == "-help" || argument == "-h";
        if (argument.rfind('-', 0) != 0) {
            command.push_back(argument);
        }
    }
    if (!has_help_flag) {
        return std::nullopt;
    }
    command.emplace_back("--help");
    return command;
}

int run(const apps::ctl_options& options, const std::vector<std::string>& arguments)
{
    return static_cast<int>(
        apps::run_command({options, arguments, std::cin, std::cout, std::cerr}));
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    // gflags would print the flags of all libraries for --help.
    if (const auto command = command_with_help(std::vector<std::string>(argv + 1, argv + argc))) {
        return run({}, *command);
    }
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    int program_name_only = 1;
    std::vector<std::string> problems = settings::load(&program_name_only, &argv);
    const std::vector<std::string> wrong_flags = check_flags();
    problems.insert(problems.end(), wrong_flags.begin(), wrong_flags.end());
    if (!problems.empty()) {
        settings::print_problems(problems);
        return static_cast<int>(apps::exit_code::usage);
    }
    return run(read_options(), arguments);
}
