#include "apps/ctl/document_access.h"

#include "apps/ctl/command_context.h"
#include "apps/ctl/publication.h"
#include "config/parse.h"

#include <fstream>
#include <iterator>
#include <utility>

namespace snipeshore::apps {

namespace {

constexpr int max_edit_attempts = 10;

} // namespace

std::unique_ptr<store_session> open_store(const command_context& context)
{
    if (context.options.platform.empty()) {
        return nullptr;
    }
    store::store_settings settings;
    settings.address = context.options.platform;
    settings.client_id = context.options.client_id;
    settings.deadline = context.options.call_deadline;
    return std::make_unique<store_session>(settings);
}

publisher_settings publisher_settings_of(const command_context& context)
{
    publisher_settings settings;
    settings.retry_timeout = context.options.retry_timeout;
    return settings;
}

base::result<std::string> read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return base::error{base::error_kind::bad_setting, "cannot read file " + path};
    }
    return std::string(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
}

base::result<std::optional<config::document>> read_configuration(store_session& store)
{
    const auto stored = read_document(store, "config");
    if (!base::is_ok(stored)) {
        return base::error_of(stored);
    }
    std::optional<config::document> result;
    if (!base::value_of(stored).state.record) {
        return result;
    }
    auto parsed = config::parse(base::value_of(stored).text);
    if (auto* document = std::get_if<config::document>(&parsed)) {
        result = std::move(*document);
    }
    return result;
}

base::result<publish_report> publish_edit(const command_context& context, store_session& store,
                                          const std::string& document, const document_edit& edit)
{
    publish_report report;
    for (int attempt = 0; attempt < max_edit_attempts; ++attempt) {
        const auto stored = read_document(store, document);
        if (!base::is_ok(stored)) {
            return base::error_of(stored);
        }
        const stored_document& current = base::value_of(stored);
        const auto edited = edit(current.text, version_of(current.state) + 1);
        if (!base::is_ok(edited)) {
            return base::error_of(edited);
        }
        publication_request request;
        request.document = document;
        request.base_version = version_of(current.state);
        request.above_version = context.options.above_version;
        request.make_text = [&](std::uint64_t version) {
            const auto text = edit(current.text, version);
            return base::is_ok(text) ? base::value_of(text) : std::string();
        };
        report = publish(store, request, publisher_settings_of(context));
        if (report.outcome != publish_outcome::conflict) {
            return report;
        }
    }
    return report;
}

} // namespace snipeshore::apps
