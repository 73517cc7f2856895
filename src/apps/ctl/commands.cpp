#include "apps/ctl/commands.h"

#include "apps/ctl/command_context.h"
#include "apps/ctl/output.h"

#include <algorithm>
#include <ostream>

namespace snipeshore::apps {

namespace {

constexpr std::string_view common_help =
    "Flags (each also as environment variable SNIPESHORE_<FLAG>):\n"
    "  --platform=IP:PORT       the platform's store\n"
    "  --client_id=NAME         client name sent to the store, default snipeshorectl\n"
    "  --json                   JSON instead of tables and text\n"
    "  --timeout_ms=N           time for which failed calls are retried, default 30000\n"
    "  --call_timeout_ms=N      time limit of one call, default 3000\n"
    "  --fleet_secret_file=FILE file with the fleet secret; or SNIPESHORE_FLEET_SECRET\n"
    "  --base=VERSION           publish: refuse unless this version is in force\n"
    "  --above=VERSION          publish with a version above this one, after a store that does\n"
    "                           not report its era was restored to an older state than the\n"
    "                           fleet's\n"
    "  --admin=IP:PORT,...      status, dump: admin addresses\n"
    "  --config_file=FILE       status, dump: configuration with the admin addresses\n"
    "\n"
    "Exit codes:\n"
    "  0 success\n"
    "  1 the command line or a setting is wrong\n"
    "  2 a document has problems\n"
    "  3 another publication came first; nothing was changed\n"
    "  4 the store is unavailable; nothing was changed\n"
    "  5 the outcome is unknown; sending the command again is safe, except keys grant\n"
    "  6 the named item does not exist\n"
    "  7 diff found differences\n"
    "  8 at least one admin address did not respond\n";

const command* find_command(const std::string& name)
{
    const auto& commands = all_commands();
    const auto found = std::find_if(commands.begin(), commands.end(),
                                    [&](const command& entry) { return entry.name == name; });
    return found == commands.end() ? nullptr : &*found;
}

bool asks_for_help(const std::vector<std::string>& arguments)
{
    return std::any_of(arguments.begin(), arguments.end(), [](const std::string& argument) {
        return argument == "--help" || argument == "-help" || argument == "-h";
    });
}

} // namespace

const std::vector<command>& all_commands()
{
    static const std::vector<command> commands{
        {"validate", "validate FILE", "checks a configuration file without the store",
         "Prints all problems, each with its JSON pointer.", run_validate},
        {"diff", "diff A B", "shows the differences between two configuration files",
         "One line per change: '+' added, '-' removed, '~' changed. Exit code 7 if there are any.",
         run_diff},
        {"publish", "publish FILE", "publishes a configuration file",
         "Writes the objects first, then the row documents/config if its version is unchanged.\n"
         "If a reply is lost, the row is read to determine the outcome. Publishing the same\n"
         "document again writes nothing.",
         run_publish},
        {"show", "show [config|keys|drains]", "prints a document in force",
         "Prints the text to standard output, and the version and digest to standard error.",
         run_show},
        {"keys", "keys grant ACCOUNT | keys withdraw HASH | keys withdraw - | keys list",
         "grants, withdraws and lists keys",
         "'grant' prints the new key once, to standard output. 'withdraw -' reads the key from\n"
         "standard input. Needs the fleet secret, except 'list' and 'withdraw HASH'.",
         run_keys},
        {"drain", "drain host|target|failure_domain|region ID", "starts a planned drain",
         "A drained item gets no new work. An existing drain is not changed.", run_drain},
        {"undrain", "undrain host|target|failure_domain|region ID", "ends a planned drain", "",
         run_undrain},
        {"status", "status", "shows the versions in force on each program",
         "Reads the state dump of each admin address.", run_status},
        {"dump", "dump", "prints the state dumps of the programs as JSON", "", run_dump},
        {"explain", "explain ID FILE...", "prints the log lines about a request",
         "Prints the lines about the request and the targets that it was sent to, sorted by time.",
         run_explain}};
    return commands;
}

void print_help(std::ostream& out)
{
    out << "usage: snipeshorectl [FLAGS] COMMAND [ARGUMENTS]\n\nCommands:\n";
    table rows;
    for (const command& entry : all_commands()) {
        rows.push_back({"  " + std::string(entry.name), std::string(entry.summary)});
    }
    print_table(out, rows);
    out << "\n'snipeshorectl COMMAND --help' describes a command.\n\n" << common_help;
}

exit_code run_command(const command_context& context)
{
    const bool help = asks_for_help(context.arguments);
    if (context.arguments.empty()) {
        print_help(context.err);
        return exit_code::usage;
    }
    const command* found = find_command(context.arguments.front());
    if (found == nullptr) {
        if (help || context.arguments.front() == "help") {
            print_help(context.out);
            return exit_code::success;
        }
        return usage_error(context, "unknown command " + context.arguments.front());
    }
    if (help) {
        context.out << "usage: snipeshorectl [FLAGS] " << found->usage << "\n\n"
                    << found->summary << "\n";
        if (!found->details.empty()) {
            context.out << "\n" << found->details << "\n";
        }
        context.out << "\n" << common_help;
        return exit_code::success;
    }
    const std::vector<std::string> rest(context.arguments.begin() + 1, context.arguments.end());
    return found->run({context.options, rest, context.in, context.out, context.err});
}

} // namespace snipeshore::apps
