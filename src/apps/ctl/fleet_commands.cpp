#include "apps/ctl/command_context.h"
#include "apps/ctl/commands.h"
#include "apps/ctl/document_access.h"
#include "apps/ctl/output.h"
#include "base/json_reader.h"
#include "config/parse.h"

#include <ostream>
#include <utility>

namespace snipeshore::apps {

using nlohmann::json;

namespace {

using address_list = std::vector<std::string>;

base::result<address_list> addresses_in(const config::document& configuration)
{
    address_list addresses;
    for (const config::host& entry : configuration.hosts) {
        addresses.insert(addresses.end(), entry.admin_addresses.begin(),
                         entry.admin_addresses.end());
    }
    if (addresses.empty()) {
        return base::error{base::error_kind::not_found,
                           "the configuration has no admin addresses; use --admin"};
    }
    return addresses;
}

/// Finds the admin addresses: from the flag, a configuration file or the configuration in force.
base::result<address_list> find_addresses(const command_context& context, store_session& store)
{
    const ctl_options& options = context.options;
    if (!options.admin_addresses.empty()) {
        return options.admin_addresses;
    }
    if (!options.config_file.empty()) {
        const auto text = read_file(options.config_file);
        if (!base::is_ok(text)) {
            return base::error_of(text);
        }
        const auto parsed = config::parse(base::value_of(text));
        if (const auto* problems = std::get_if<1>(&parsed)) {
            return base::error{base::error_kind::document_invalid, config::to_text(*problems)};
        }
        return addresses_in(std::get<0>(parsed));
    }
    if (options.platform.empty()) {
        return base::error{base::error_kind::bad_setting,
                           "one of --admin, --config_file, --platform is required"};
    }
    const auto configuration = read_configuration(store);
    if (!base::is_ok(configuration)) {
        return base::error_of(configuration);
    }
    if (!base::value_of(configuration)) {
        return base::error{base::error_kind::not_found, "no configuration has been published"};
    }
    return addresses_in(*base::value_of(configuration));
}

struct program_dump {
    std::string address;
    json content; ///< Null if no valid dump was received.
    std::string failure;
};

program_dump fetch_dump(const command_context& context, store_session& session,
                        const std::string& address)
{
    const auto page = session.get_page(address, "/-/dump", context.options.call_deadline);
    if (!base::is_ok(page)) {
        return {address, nullptr, base::error_of(page).detail};
    }
    json content = base::parse_json_or_discard(base::value_of(page));
    if (!content.is_object()) {
        return {address, nullptr, "the dump is not a JSON object"};
    }
    return {address, std::move(content), ""};
}

std::variant<std::vector<program_dump>, exit_code> fetch_dumps(const command_context& context)
{
    if (!context.arguments.empty()) {
        return usage_error(context, "no arguments expected");
    }
    store::store_settings settings;
    settings.address = context.options.platform;
    settings.client_id = context.options.client_id;
    settings.deadline = context.options.call_deadline;
    store_session session(settings);
    const auto addresses = find_addresses(context, session);
    if (!base::is_ok(addresses)) {
        return print_error(context, base::error_of(addresses));
    }
    std::vector<program_dump> dumps;
    for (const std::string& address : base::value_of(addresses)) {
        dumps.push_back(fetch_dump(context, session, address));
    }
    return dumps;
}

exit_code exit_code_of(const std::vector<program_dump>& dumps)
{
    for (const program_dump& dump : dumps) {
        if (dump.content.is_null()) {
            return exit_code::unreachable;
        }
    }
    return exit_code::success;
}

/// Text of a field for the table; "-" if the dump lacks it, as dumps of other releases may.
std::string field_text(const json& content, const json::json_pointer& pointer)
{
    if (!content.contains(pointer)) {
        return "-";
    }
    const json& value = content.at(pointer);
    return value.is_string() ? value.get<std::string>() : value.dump();
}

} // namespace

exit_code run_status(const command_context& context)
{
    const auto fetched = fetch_dumps(context);
    if (const auto* code = std::get_if<exit_code>(&fetched)) {
        return *code;
    }
    const auto& dumps = std::get<std::vector<program_dump>>(fetched);
    static const std::vector<std::pair<const char*, json::json_pointer>> columns{
        {"program", json::json_pointer("/program")},
        {"host", json::json_pointer("/host")},
        {"failure_domain", json::json_pointer("/failure_domain")},
        {"config", json::json_pointer("/versions/config")},
        {"keys", json::json_pointer("/versions/keys")},
        {"drains", json::json_pointer("/versions/drains")},
        {"leaving", json::json_pointer("/leaving")}};
    table rows{{"ADDRESS", "STATE", "PROGRAM", "HOST", "FAILURE DOMAIN", "CONFIG", "KEYS", "DRAINS",
                "LEAVING"}};
    json entries = json::array();
    for (const program_dump& dump : dumps) {
        const bool has_dump = !dump.content.is_null();
        std::vector<std::string> row{dump.address, has_dump ? "ok" : "no response"};
        json entry{{"address", dump.address}, {"answers", has_dump}, {"failure", dump.failure}};
        for (const auto& [name, pointer] : columns) {
            row.push_back(field_text(dump.content, pointer));
            entry[name] = dump.content.contains(pointer) ? dump.content.at(pointer) : json(nullptr);
        }
        rows.push_back(std::move(row));
        entries.push_back(std::move(entry));
    }
    if (context.options.json) {
        print_json(context.out, {{"programs", std::move(entries)}});
    } else {
        print_table(context.out, rows);
    }
    return exit_code_of(dumps);
}

exit_code run_dump(const command_context& context)
{
    const auto fetched = fetch_dumps(context);
    if (const auto* code = std::get_if<exit_code>(&fetched)) {
        return *code;
    }
    const auto& dumps = std::get<std::vector<program_dump>>(fetched);
    json all = json::object();
    for (const program_dump& dump : dumps) {
        all[dump.address] = dump.content.is_null() ? json{{"failure", dump.failure}} : dump.content;
    }
    print_json(context.out, all);
    return exit_code_of(dumps);
}

} // namespace snipeshore::apps
