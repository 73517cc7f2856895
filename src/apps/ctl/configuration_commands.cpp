#include "apps/ctl/command_context.h"
#include "apps/ctl/commands.h"
#include "apps/ctl/document_access.h"
#include "apps/ctl/output.h"
#include "base/json_reader.h"
#include "config/diff.h"
#include "config/parse.h"

#include <ostream>
#include <utility>

namespace snipeshore::apps {

using nlohmann::json;

namespace {

/// Reads and validates a configuration file. Returns the exit code after printing an error.
std::variant<config::document, exit_code> load(const command_context& context,
                                               const std::string& path)
{
    const auto text = read_file(path);
    if (!base::is_ok(text)) {
        return print_error(context, base::error_of(text));
    }
    auto parsed = config::parse(base::value_of(text));
    if (const auto* problems = std::get_if<1>(&parsed)) {
        return print_problems(context, path, *problems);
    }
    return std::move(std::get<0>(parsed));
}

bool is_document_name(const std::string& name)
{
    return name == "config" || name == "keys" || name == "drains";
}

} // namespace

exit_code run_validate(const command_context& context)
{
    if (context.arguments.size() != 1) {
        return usage_error(context, "validate needs one file");
    }
    const std::string& path = context.arguments.front();
    const auto loaded = load(context, path);
    if (const auto* code = std::get_if<exit_code>(&loaded)) {
        return *code;
    }
    if (context.options.json) {
        print_json(context.out, {{"file", path}, {"problems", json::array()}});
    } else {
        context.out << path << ": valid\n";
    }
    return exit_code::success;
}

exit_code run_diff(const command_context& context)
{
    if (context.arguments.size() != 2) {
        return usage_error(context, "diff needs two files");
    }
    std::vector<config::document> documents;
    for (const std::string& path : context.arguments) {
        auto loaded = load(context, path);
        if (const auto* code = std::get_if<exit_code>(&loaded)) {
            return *code;
        }
        documents.push_back(std::move(std::get<config::document>(loaded)));
    }
    const auto changes = config::diff(documents[0], documents[1]);
    if (context.options.json) {
        print_json(context.out, {{"changes", to_json(changes)}});
    } else {
        context.out << config::to_text(changes);
    }
    return changes.empty() ? exit_code::success : exit_code::differs;
}

exit_code run_publish(const command_context& context)
{
    if (context.arguments.size() != 1) {
        return usage_error(context, "publish needs one file");
    }
    const auto loaded = load(context, context.arguments.front());
    if (const auto* code = std::get_if<exit_code>(&loaded)) {
        return *code;
    }
    const auto store = open_store(context);
    if (!store) {
        return usage_error(context, "--platform is required");
    }
    const std::string text = config::to_text(std::get<config::document>(loaded));
    publication_request request;
    request.document = "config";
    request.make_text = [&text](std::uint64_t /*version*/) {
        return text;
    };
    request.base_version = context.options.base_version;
    request.above_version = context.options.above_version;
    return print_report(context, request.document,
                        publish(*store, request, publisher_settings_of(context)));
}

exit_code run_show(const command_context& context)
{
    const std::string name = context.arguments.empty() ? "config" : context.arguments.front();
    if (context.arguments.size() > 1 || !is_document_name(name)) {
        return usage_error(context, "show takes one of config, keys, drains");
    }
    const auto store = open_store(context);
    if (!store) {
        return usage_error(context, "--platform is required");
    }
    const auto stored = read_document(*store, name);
    if (!base::is_ok(stored)) {
        return print_error(context, base::error_of(stored));
    }
    const auto& [state, text] = base::value_of(stored);
    if (!state.record) {
        return print_error(context,
                           {base::error_kind::not_found, "no " + name + " has been published"});
    }
    if (context.options.json) {
        print_json(context.out, {{"document", name},
                                 {"version", state.record->version.value()},
                                 {"digest", state.record->digest},
                                 {"publication_id", state.record->id},
                                 {"content", base::parse_json_or_discard(text)}});
    } else {
        context.out << base::parse_json_or_discard(text).dump(2) << '\n';
        context.err << name << " version " << state.record->version.value() << ", digest "
                    << state.record->digest << '\n';
    }
    return exit_code::success;
}

} // namespace snipeshore::apps
