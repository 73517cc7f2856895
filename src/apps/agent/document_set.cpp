#include "apps/agent/document_set.h"

#include "documents/replica.h"
#include "telemetry/event_log.h"

#include <algorithm>
#include <utility>

namespace snipeshore::apps {

namespace {

const documents::replica_limits limits;

std::uint64_t version_of(const std::vector<inner::document_version>& versions,
                         const std::string& name)
{
    const auto found = std::find_if(versions.begin(), versions.end(),
                                    [&](const auto& item) { return item.name == name; });
    return found == versions.end() ? 0 : found->version;
}

inner::document to_message(const std::string& name, documents::update update)
{
    return {name,
            update.version.value(),
            update.base_version.value(),
            std::move(update.text),
            std::move(update.patches),
            std::move(update.digest)};
}

documents::update to_update(const inner::document& message)
{
    return {base::document_version(message.version), base::document_version(message.base_version),
            message.digest, message.text, message.patches};
}

void log_outcome(const std::string& name, const documents::update& offered,
                 documents::install_outcome outcome)
{
    using telemetry::severity;
    const std::uint64_t version = offered.version.value();
    switch (outcome) {
    case documents::install_outcome::installed:
        telemetry::log_event(severity::info, "document_installed",
                             {{"name", name}, {"version", version}, {"digest", offered.digest}});
        break;
    case documents::install_outcome::conflicting:
        telemetry::log_event(severity::error, "document_conflict",
                             {{"name", name}, {"version", version}, {"digest", offered.digest}});
        break;
    case documents::install_outcome::invalid:
        telemetry::log_event(severity::error, "document_invalid",
                             {{"name", name}, {"version", version}});
        break;
    case documents::install_outcome::needs_text:
    case documents::install_outcome::not_newer:
        break;
    }
}

} // namespace

const std::vector<std::string>& document_names()
{
    static const std::vector<std::string> names{"config", "keys", "drains"};
    return names;
}

document_set::document_set()
{
    for (const std::string& name : document_names()) {
        m_replicas.try_emplace(name);
        m_needs_text[name] = false;
    }
}

const documents::replica& document_set::get(const std::string& name) const
{
    return m_replicas.at(name);
}

std::vector<inner::document_version> document_set::versions() const
{
    std::vector<inner::document_version> list;
    for (const std::string& name : document_names()) {
        list.push_back({name, get(name).version.value()});
    }
    return list;
}

std::vector<inner::document_version> document_set::versions_for_exchange() const
{
    auto list = versions();
    for (auto& item : list) {
        if (m_needs_text.at(item.name)) {
            item.version = 0;
        }
    }
    return list;
}

std::vector<inner::document>
document_set::newer_than(const std::vector<inner::document_version>& theirs) const
{
    std::vector<inner::document> list;
    for (const std::string& name : document_names()) {
        auto update =
            documents::update_since(get(name), base::document_version(version_of(theirs, name)));
        if (update) {
            list.push_back(to_message(name, std::move(*update)));
        }
    }
    return list;
}

documents::install_outcome document_set::install(const inner::document& offered)
{
    return install(offered.name, to_update(offered));
}

documents::install_outcome document_set::install(const std::string& name,
                                                 const documents::update& offered)
{
    const auto found = m_replicas.find(name);
    if (found == m_replicas.end()) {
        return documents::install_outcome::not_newer;
    }
    const auto outcome = documents::install(found->second, offered, limits);
    if (outcome == documents::install_outcome::needs_text) {
        m_needs_text[name] = true;
    } else if (!offered.text.empty()) {
        m_needs_text[name] = false;
    }
    log_outcome(name, offered, outcome);
    return outcome;
}

} // namespace snipeshore::apps
