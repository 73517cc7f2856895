#include "apps/ctl/command_context.h"
#include "apps/ctl/commands.h"
#include "apps/ctl/document_access.h"
#include "apps/ctl/output.h"
#include "apps/ctl/publication.h"
#include "config/key_hash.h"
#include "config/parse.h"

#include <algorithm>
#include <istream>
#include <ostream>
#include <utility>

namespace snipeshore::apps {

using nlohmann::json;

namespace {

base::result<config::keys_document> read_keys(const std::string& text)
{
    if (text.empty()) {
        return config::keys_document{};
    }
    auto parsed = config::parse_keys(text);
    if (const auto* problems = std::get_if<1>(&parsed)) {
        return base::error{base::error_kind::document_invalid,
                           "invalid keys document in force: " + config::to_text(*problems)};
    }
    return std::move(std::get<0>(parsed));
}

/// Error if the account is not in the configuration in force; empty if it is, or if there is no
/// valid configuration.
std::optional<base::error> account_problem(store_session& store, const std::string& account)
{
    const auto configuration = read_configuration(store);
    if (!base::is_ok(configuration)) {
        return base::error_of(configuration);
    }
    if (!base::value_of(configuration)) {
        return std::nullopt;
    }
    const auto& accounts = base::value_of(configuration)->accounts;
    const bool exists =
        std::any_of(accounts.begin(), accounts.end(),
                    [&](const config::account& entry) { return entry.id.value() == account; });
    if (exists) {
        return std::nullopt;
    }
    return base::error{base::error_kind::not_found,
                       "no account " + account + " in the configuration in force"};
}

exit_code grant(const command_context& context, store_session& store, const std::string& account)
{
    const base::status secret = config::check_secret(context.options.secret);
    if (!base::is_ok(secret)) {
        return print_error(context, base::error_of(secret));
    }
    if (const auto problem = account_problem(store, account)) {
        return print_error(context, *problem);
    }
    const std::string key = config::random_key();
    const std::string hash = config::hash_key(context.options.secret, key);
    const auto edit = [&](const std::string& text,
                          std::uint64_t version) -> base::result<std::string> {
        auto keys = read_keys(text);
        if (!base::is_ok(keys)) {
            return base::error_of(keys);
        }
        base::value_of(keys).keys.push_back(
            {hash, base::account_id(account), base::document_version(version)});
        return config::to_text(base::value_of(keys));
    };
    const auto outcome = publish_edit(context, store, "keys", edit);
    if (!base::is_ok(outcome)) {
        return print_error(context, base::error_of(outcome));
    }
    const publish_report& report = base::value_of(outcome);
    if (report.outcome != publish_outcome::published) {
        const exit_code code = print_report(context, "keys", report);
        if (code == exit_code::unknown) {
            context.err
                << "the key with hash " << hash
                << " may have been granted but is not shown; withdraw it and grant another one\n";
        }
        return code;
    }
    if (context.options.json) {
        print_json(context.out, {{"key", key},
                                 {"hash", hash},
                                 {"account", account},
                                 {"version", report.in_force.version.value()}});
    } else {
        context.out << key << '\n';
        context.err << "granted to " << account << " in keys version "
                    << report.in_force.version.value() << ", hash " << hash
                    << "; the key is shown only once\n";
    }
    return exit_code::success;
}

bool is_hash(const std::string& text)
{
    constexpr std::size_t hash_digits = 64;
    return text.size() == hash_digits &&
           text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

exit_code withdraw(const command_context& context, store_session& store,
                   const std::string& argument)
{
    std::string hash = argument;
    if (argument == "-") {
        const base::status secret = config::check_secret(context.options.secret);
        if (!base::is_ok(secret)) {
            return print_error(context, base::error_of(secret));
        }
        std::string key;
        std::getline(context.in, key);
        hash = config::hash_key(context.options.secret, key);
    }
    // The message must not contain the argument, which may be a key given by mistake.
    if (!is_hash(hash)) {
        return usage_error(context, "keys withdraw needs the hash of a key, or '-' to read a key "
                                    "from standard input");
    }
    const auto edit = [&](const std::string& text,
                          std::uint64_t /*version*/) -> base::result<std::string> {
        auto read = read_keys(text);
        if (!base::is_ok(read)) {
            return base::error_of(read);
        }
        auto& keys = base::value_of(read).keys;
        const auto removed =
            std::remove_if(keys.begin(), keys.end(),
                           [&](const config::key_grant& entry) { return entry.hash == hash; });
        if (removed == keys.end()) {
            return base::error{base::error_kind::not_found, "no key with hash " + hash};
        }
        keys.erase(removed, keys.end());
        return config::to_text(base::value_of(read));
    };
    const auto outcome = publish_edit(context, store, "keys", edit);
    if (!base::is_ok(outcome)) {
        return print_error(context, base::error_of(outcome));
    }
    return print_report(context, "keys", base::value_of(outcome));
}

exit_code list(const command_context& context, store_session& store)
{
    const auto stored = read_document(store, "keys");
    if (!base::is_ok(stored)) {
        return print_error(context, base::error_of(stored));
    }
    const auto keys = read_keys(base::value_of(stored).text);
    if (!base::is_ok(keys)) {
        return print_error(context, base::error_of(keys));
    }
    json entries = json::array();
    table rows{{"HASH", "ACCOUNT", "SINCE"}};
    for (const config::key_grant& entry : base::value_of(keys).keys) {
        const std::uint64_t since = entry.granted_at_version.value();
        entries.push_back({{"hash", entry.hash},
                           {"account", entry.account.value()},
                           {"granted_at_version", since}});
        rows.push_back({entry.hash, entry.account.value(), std::to_string(since)});
    }
    if (context.options.json) {
        print_json(context.out, {{"version", version_of(base::value_of(stored).state)},
                                 {"keys", std::move(entries)}});
    } else {
        print_table(context.out, rows);
    }
    return exit_code::success;
}

} // namespace

exit_code run_keys(const command_context& context)
{
    const auto& arguments = context.arguments;
    const std::string action = arguments.empty() ? "" : arguments.front();
    const bool takes_argument = action == "grant" || action == "withdraw";
    if ((!takes_argument && action != "list") || arguments.size() != (takes_argument ? 2U : 1U)) {
        return usage_error(context, "keys takes 'grant ACCOUNT', 'withdraw HASH|-' or 'list'");
    }
    const auto store = open_store(context);
    if (!store) {
        return usage_error(context, "--platform is required");
    }
    if (action == "grant") {
        return grant(context, *store, arguments[1]);
    }
    return action == "withdraw" ? withdraw(context, *store, arguments[1]) : list(context, *store);
}

} // namespace snipeshore::apps
