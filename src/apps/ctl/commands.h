/// @file The subcommands of snipeshorectl.
#pragma once

#include "apps/ctl/exit_code.h"

#include <string_view>
#include <vector>

namespace snipeshore::apps {

struct command_context;

struct command {
    std::string_view name;
    std::string_view usage;
    std::string_view summary;
    std::string_view details;
    exit_code (*run)(const command_context& context);
};

const std::vector<command>& all_commands();

/// Runs the subcommand named by the first argument, or prints its help if `--help` is given.
exit_code run_command(const command_context& context);

/// Prints the help of the program.
void print_help(std::ostream& out);

exit_code run_validate(const command_context& context);
exit_code run_diff(const command_context& context);
exit_code run_publish(const command_context& context);
exit_code run_show(const command_context& context);
exit_code run_keys(const command_context& context);
exit_code run_drain(const command_context& context);
exit_code run_undrain(const command_context& context);
exit_code run_status(const command_context& context);
exit_code run_dump(const command_context& context);
exit_code run_explain(const command_context& context);

} // namespace snipeshore::apps
