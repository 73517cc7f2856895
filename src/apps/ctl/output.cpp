#include "apps/ctl/output.h"

#include "apps/ctl/command_context.h"
#include "base/error_response.h"
#include "config/diff.h"
#include "config/parse.h"

#include <algorithm>
#include <ostream>
#include <string_view>

namespace snipeshore::apps {

using nlohmann::json;

namespace {

struct outcome_description {
    std::string_view name;
    std::string_view meaning;
    exit_code code;
};

outcome_description describe(publish_outcome outcome)
{
    switch (outcome) {
    case publish_outcome::published:
        return {"published", "published", exit_code::success};
    case publish_outcome::already_in_force:
        return {"already_in_force", "already in force, nothing was written", exit_code::success};
    case publish_outcome::conflict:
        return {"conflict", "not published, another publication came first", exit_code::conflict};
    case publish_outcome::unavailable:
        return {"unavailable", "not published, the store is unavailable", exit_code::unavailable};
    case publish_outcome::unknown:
        return {"unknown", "the outcome is unknown; publishing again is safe", exit_code::unknown};
    case publish_outcome::malformed:
        break;
    }
    return {"malformed", "not published, the content of the store is malformed",
            exit_code::invalid};
}

json optional_text(const std::optional<std::string>& text)
{
    return text ? json(*text) : json(nullptr);
}

} // namespace

void print_table(std::ostream& out, const table& rows)
{
    std::vector<std::size_t> widths;
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    for (const auto& row : rows) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            line += row[column];
            if (column + 1 < row.size()) {
                line += std::string(widths[column] - row[column].size() + 2, ' ');
            }
        }
        out << line << '\n';
    }
}

void print_json(std::ostream& out, const json& value)
{
    out << value.dump(2, ' ', false, json::error_handler_t::replace) << '\n';
}

json to_json(const std::vector<config::problem>& problems)
{
    json list = json::array();
    for (const config::problem& found : problems) {
        list.push_back(
            {{"pointer", found.pointer}, {"value", found.value}, {"expected", found.expected}});
    }
    return list;
}

json to_json(const std::vector<config::change>& changes)
{
    json list = json::array();
    for (const config::change& entry : changes) {
        list.push_back({{"path", entry.path},
                        {"before", optional_text(entry.before)},
                        {"after", optional_text(entry.after)}});
    }
    return list;
}

exit_code print_report(const command_context& context, const std::string& document,
                       const publish_report& report)
{
    const outcome_description text = describe(report.outcome);
    if (context.options.json) {
        print_json(context.out, {{"document", document},
                                 {"outcome", text.name},
                                 {"version", report.in_force.version.value()},
                                 {"digest", report.in_force.digest},
                                 {"publication_id", report.in_force.id},
                                 {"detail", report.detail},
                                 {"other_changes", to_json(report.other_changes)}});
        return text.code;
    }
    std::ostream& out = text.code == exit_code::success ? context.out : context.err;
    const std::string version = report.in_force.version.value() == 0
                                    ? ""
                                    : " version " + std::to_string(report.in_force.version.value());
    out << document << version << ": " << text.meaning << '\n';
    if (!report.detail.empty()) {
        out << report.detail << '\n';
    }
    if (!report.other_changes.empty()) {
        out << "the other publication changed:\n" << config::to_text(report.other_changes);
    }
    return text.code;
}

exit_code print_problems(const command_context& context, const std::string& file,
                         const std::vector<config::problem>& problems)
{
    if (context.options.json) {
        print_json(context.out, {{"file", file}, {"problems", to_json(problems)}});
    } else {
        context.err << file << ": " << problems.size() << " problems\n"
                    << config::to_text(problems);
    }
    return exit_code::invalid;
}

exit_code print_error(const command_context& context, const base::error& failure)
{
    const std::string_view name = base::response_for(failure.kind).name;
    if (context.options.json) {
        print_json(context.out, {{"error", name}, {"detail", failure.detail}});
    } else {
        context.err << "error: " << name << ": " << failure.detail << '\n';
    }
    switch (failure.kind) {
    case base::error_kind::store_unavailable:
        return exit_code::unavailable;
    case base::error_kind::store_unknown:
        return exit_code::unknown;
    case base::error_kind::not_found:
        return exit_code::not_found;
    case base::error_kind::document_invalid:
        return exit_code::invalid;
    default:
        return exit_code::usage;
    }
}

exit_code usage_error(const command_context& context, const std::string& detail)
{
    return print_error(context, {base::error_kind::bad_setting, detail});
}

} // namespace snipeshore::apps
