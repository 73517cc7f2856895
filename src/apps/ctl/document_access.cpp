#include "apps/ctl/document_access.h"

#include "apps/ctl/command_context.h"
#include "apps/ctl/publication.h"
#include "base/time.h"
#include "config/parse.h"
#include "documents/publishing.h"

#include <chrono>
#include <fstream>
#include <iterator>
#include <thread>
#include <utility>

namespace snipeshore::apps {

namespace {

constexpr int max_edit_attempts = 10;

// After a restoration agents write lost versions again. They poll the rows each second; the rest is
// for their calls.
constexpr std::chrono::seconds rewrite_time{3};

/// Reads a document to edit it. If the store was restored since the document was published, waits
/// for a lost version that agents write again: an edit of the restored text would undo it.
base::result<stored_document> read_for_edit(store_session& store, const std::string& document,
                                            const publisher_settings& settings)
{
    const base::time_point give_up = base::boot_clock::now() + rewrite_time;
    const auto first = read_document(store, document);
    auto read = first;
    while (base::is_ok(first) && base::is_ok(read)) {
        const documents::published_row& state = base::value_of(read).state;
        const std::uint64_t version = version_of(state);
        const bool is_from_earlier_era =
            state.store_era > 0 && version < documents::first_version(state.store_era).value();
        if (!is_from_earlier_era || version != version_of(base::value_of(first).state) ||
            base::boot_clock::now() >= give_up) {
            break;
        }
        std::this_thread::sleep_for(settings.retry_interval);
        read = read_document(store, document);
    }
    return read;
}

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
        const auto stored = read_for_edit(store, document, publisher_settings_of(context));
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
