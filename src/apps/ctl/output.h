/// @file Output of subcommands as tables, text or JSON.
#pragma once

#include "apps/ctl/exit_code.h"
#include "apps/ctl/types/publication.h"
#include "base/types/error.h"
#include "config/types/change.h"
#include "config/types/problem.h"

#include <nlohmann/json.hpp>

#include <iosfwd>
#include <string>
#include <vector>

namespace snipeshore::apps {

struct command_context;

using table = std::vector<std::vector<std::string>>;

/// Prints rows in aligned columns; the first row is the heading.
void print_table(std::ostream& out, const table& rows);

void print_json(std::ostream& out, const nlohmann::json& value);

nlohmann::json to_json(const std::vector<config::problem>& problems);
nlohmann::json to_json(const std::vector<config::change>& changes);

/// Prints the outcome of a publication and returns its exit code.
exit_code print_report(const command_context& context, const std::string& document,
                       const publish_report& report);

exit_code print_problems(const command_context& context, const std::string& file,
                         const std::vector<config::problem>& problems);

/// Prints an error and returns its exit code.
exit_code print_error(const command_context& context, const base::error& failure);

exit_code usage_error(const command_context& context, const std::string& detail);

} // namespace snipeshore::apps
