#include "apps/ctl/command_context.h"
#include "apps/ctl/commands.h"
#include "apps/ctl/output.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace snipeshore::apps {

namespace {

/// Value of a field of a log line, without quotes; empty if the line has no such field.
std::string field_of(std::string_view line, std::string_view name)
{
    const std::string start = " " + std::string(name) + "=";
    const std::size_t at = line.find(start);
    if (at == std::string_view::npos) {
        return {};
    }
    std::string_view value = line.substr(at + start.size());
    const bool is_quoted = value.starts_with('"');
    value.remove_prefix(is_quoted ? 1 : 0);
    return std::string(value.substr(0, value.find(is_quoted ? '"' : ' ')));
}

std::string time_of(std::string_view line)
{
    // The first field has no space before it in a log file, but may have one in captured terminal
    // output. The added space makes both match.
    return field_of(" " + std::string(line), "time");
}

bool is_about_targets(std::string_view line, const std::set<std::string>& targets)
{
    const std::string event = field_of(line, "event");
    return event.starts_with("target_") && targets.contains(field_of(line, "target"));
}

} // namespace

exit_code run_explain(const command_context& context)
{
    if (context.arguments.size() < 2) {
        return usage_error(context, "explain needs a request id and log files");
    }
    const std::string& id = context.arguments.front();
    std::vector<std::string> lines;
    for (std::size_t i = 1; i < context.arguments.size(); ++i) {
        std::ifstream file(context.arguments[i]);
        if (!file) {
            return usage_error(context, "cannot read log file " + context.arguments[i]);
        }
        for (std::string line; std::getline(file, line);) {
            lines.push_back(line);
        }
    }
    std::set<std::string> targets;
    for (const std::string& line : lines) {
        if (field_of(line, "request_id") == id) {
            targets.insert(field_of(line, "target"));
        }
    }
    targets.erase("");
    std::erase_if(lines, [&](const std::string& line) {
        return field_of(line, "request_id") != id && !is_about_targets(line, targets);
    });
    if (lines.empty()) {
        context.err << "no log line about request " << id << '\n';
        return exit_code::not_found;
    }
    std::stable_sort(lines.begin(), lines.end(), [](const auto& left, const auto& right) {
        return time_of(left) < time_of(right);
    });
    for (const std::string& line : lines) {
        context.out << line << '\n';
    }
    return exit_code::success;
}

} // namespace snipeshore::apps
