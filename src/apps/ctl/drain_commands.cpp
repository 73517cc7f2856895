#include "apps/ctl/command_context.h"
#include "apps/ctl/commands.h"
#include "apps/ctl/document_access.h"
#include "apps/ctl/output.h"
#include "config/parse.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace snipeshore::apps {

namespace {

using config::drain_kind;

std::optional<drain_kind> kind_of(const std::string& text)
{
    if (text == "host") {
        return drain_kind::host;
    }
    if (text == "target") {
        return drain_kind::target;
    }
    if (text == "failure_domain") {
        return drain_kind::failure_domain;
    }
    if (text == "region") {
        return drain_kind::region;
    }
    return std::nullopt;
}

template <typename Items>
bool has_id(const Items& items, const std::string& id)
{
    return std::any_of(items.begin(), items.end(),
                       [&](const auto& entry) { return entry.id.value() == id; });
}

bool exists(const config::document& configuration, drain_kind kind, const std::string& id)
{
    switch (kind) {
    case drain_kind::host:
        return has_id(configuration.hosts, id);
    case drain_kind::failure_domain:
        return has_id(configuration.failure_domains, id);
    case drain_kind::region:
        return has_id(configuration.regions, id);
    case drain_kind::target:
        break;
    }
    return std::any_of(configuration.services.begin(), configuration.services.end(),
                       [&](const config::service& entry) { return has_id(entry.targets, id); });
}

base::result<config::drains_document> read_drains(const std::string& text)
{
    if (text.empty()) {
        return config::drains_document{};
    }
    auto parsed = config::parse_drains(text);
    if (const auto* problems = std::get_if<1>(&parsed)) {
        return base::error{base::error_kind::document_invalid,
                           "invalid drains document in force: " + config::to_text(*problems)};
    }
    return std::move(std::get<0>(parsed));
}

/// Changes the list of drains. A returned error ends the command.
using drains_edit =
    std::function<std::optional<base::error>(config::drains_document&, std::uint64_t version)>;

exit_code publish_drains(const command_context& context, store_session& store,
                         const drains_edit& change)
{
    const auto edit = [&](const std::string& text,
                          std::uint64_t version) -> base::result<std::string> {
        auto drains = read_drains(text);
        if (!base::is_ok(drains)) {
            return base::error_of(drains);
        }
        if (const auto failure = change(base::value_of(drains), version)) {
            return *failure;
        }
        return config::to_text(base::value_of(drains));
    };
    const auto outcome = publish_edit(context, store, "drains", edit);
    if (!base::is_ok(outcome)) {
        return print_error(context, base::error_of(outcome));
    }
    return print_report(context, "drains", base::value_of(outcome));
}

struct drain_arguments {
    drain_kind kind;
    std::string id;
};

std::optional<drain_arguments> read_arguments(const command_context& context)
{
    if (context.arguments.size() != 2) {
        return std::nullopt;
    }
    const auto kind = kind_of(context.arguments[0]);
    if (!kind) {
        return std::nullopt;
    }
    return drain_arguments{*kind, context.arguments[1]};
}

const char* const required_arguments =
    "required arguments: one of host, target, failure_domain, region, and an id";

auto matches(const drain_arguments& requested)
{
    return [&requested](const config::drain& entry) {
        return entry.kind == requested.kind && entry.id == requested.id;
    };
}

} // namespace

exit_code run_drain(const command_context& context)
{
    const auto requested = read_arguments(context);
    if (!requested) {
        return usage_error(context, required_arguments);
    }
    const auto store = open_store(context);
    if (!store) {
        return usage_error(context, "--platform is required");
    }
    const auto configuration = read_configuration(*store);
    if (!base::is_ok(configuration)) {
        return print_error(context, base::error_of(configuration));
    }
    const auto& document = base::value_of(configuration);
    if (document && !exists(*document, requested->kind, requested->id)) {
        return print_error(context, {base::error_kind::not_found,
                                     "no " + context.arguments[0] + " " + requested->id +
                                         " in the configuration in force"});
    }
    return publish_drains(
        context, *store,
        [&](config::drains_document& drains, std::uint64_t version) -> std::optional<base::error> {
            const auto& entries = drains.drains;
            if (std::none_of(entries.begin(), entries.end(), matches(*requested))) {
                drains.drains.push_back(
                    {requested->kind, requested->id, base::document_version(version)});
            }
            return std::nullopt;
        });
}

exit_code run_undrain(const command_context& context)
{
    const auto requested = read_arguments(context);
    if (!requested) {
        return usage_error(context, required_arguments);
    }
    const auto store = open_store(context);
    if (!store) {
        return usage_error(context, "--platform is required");
    }
    return publish_drains(
        context, *store,
        [&](config::drains_document& drains,
            std::uint64_t /*version*/) -> std::optional<base::error> {
            auto& entries = drains.drains;
            const auto removed =
                std::remove_if(entries.begin(), entries.end(), matches(*requested));
            if (removed == entries.end()) {
                return base::error{base::error_kind::not_found,
                                   "no drain of " + context.arguments[0] + " " + requested->id};
            }
            entries.erase(removed, entries.end());
            return std::nullopt;
        });
}

} // namespace snipeshore::apps
