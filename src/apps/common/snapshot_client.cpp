#include "apps/common/snapshot_client.h"

#include "config/parse.h"
#include "documents/text.h"
#include "http/loop.h"
#include "inner/node.h"
#include "telemetry/event_log.h"

#include <chrono>
#include <utility>

namespace snipeshore::apps {

namespace {

using namespace std::chrono_literals;

constexpr auto watch_deadline = 5s;
constexpr auto retry_delay = 200ms;

std::uint64_t current_version(const fleet_state& state, const std::string& name)
{
    if (name == "config") {
        return state.config_version;
    }
    return name == "keys" ? state.keys_version : state.drains_version;
}

template <typename T>
const T* parsed_or_null(const std::string& name, const config::parsed<T>& outcome)
{
    if (const auto* problems = std::get_if<std::vector<config::problem>>(&outcome)) {
        telemetry::log_event(telemetry::severity::error, "document_rejected",
                             {{"name", name}, {"problems", config::to_text(*problems)}});
        return nullptr;
    }
    return &std::get<T>(outcome);
}

} // namespace

snapshot_client::snapshot_client(http::loop& loop, inner::node& node, std::string agent_address,
                                 std::function<inner::process_report()> report,
                                 change_callback on_change)
    : m_loop(loop), m_node(node), m_agent_address(std::move(agent_address)),
      m_report(std::move(report)), m_on_change(std::move(on_change)),
      m_alive(std::make_shared<snapshot_client*>(this))
{}

snapshot_client::~snapshot_client() = default;

void snapshot_client::start()
{
    watch();
}

void snapshot_client::stop()
{
    m_stopped = true;
}

const fleet_state& snapshot_client::state() const
{
    return m_state;
}

bool snapshot_client::is_agent_unreachable() const
{
    return m_is_agent_unreachable;
}

base::time_point snapshot_client::last_reply() const
{
    return m_last_reply;
}

void snapshot_client::watch()
{
    if (m_stopped) {
        return;
    }
    const base::time_point sent = base::boot_clock::now();
    m_node.watch(m_agent_address, cursor(), m_report(), sent + watch_deadline,
                 [weak = std::weak_ptr(m_alive), sent](base::result<inner::snapshot> reply) {
                     if (const auto self = weak.lock()) {
                         (*self)->on_reply(std::move(reply), sent);
                     }
                 });
}

void snapshot_client::watch_later()
{
    m_loop.schedule(base::boot_clock::now() + retry_delay, [weak = std::weak_ptr(m_alive)] {
        if (const auto self = weak.lock()) {
            (*self)->watch();
        }
    });
}

void snapshot_client::on_reply(base::result<inner::snapshot> reply, base::time_point sent)
{
    m_is_agent_unreachable = !base::is_ok(reply);
    if (m_is_agent_unreachable) {
        telemetry::log_event(
            telemetry::severity::warning, "agent_unavailable",
            {{"address", m_agent_address}, {"cause", base::error_of(reply).detail}});
        watch_later();
        return;
    }
    const inner::snapshot& snapshot = base::value_of(reply);
    m_last_reply = base::boot_clock::now();
    m_state.last_contact = std::max(m_state.last_contact, sent - snapshot.contact_age);
    const fleet_changes changes = apply(snapshot);
    m_on_change(m_state, changes);
    watch();
}

fleet_changes snapshot_client::apply(const inner::snapshot& snapshot)
{
    fleet_changes changes;
    for (const inner::document& document : snapshot.documents) {
        if (apply_document(document, changes)) {
            telemetry::log_event(telemetry::severity::info, "document_in_force",
                                 {{"name", document.name}, {"version", document.version}});
        }
    }
    // Revisions are comparable only within one run of the agent, so any difference means a new
    // list.
    if (snapshot.members_revision != m_state.members_revision) {
        m_state.members = snapshot.members;
        m_state.members_revision = snapshot.members_revision;
        changes.members = true;
    }
    if (snapshot.listed_known &&
        (!m_state.listed_known || snapshot.listed_hosts != m_state.listed_hosts)) {
        m_state.listed_known = true;
        m_state.listed_hosts = snapshot.listed_hosts;
        changes.members = true;
    }
    if (snapshot.steering_revision != m_state.steering_revision) {
        m_state.weights = snapshot.weights;
        m_state.steering_revision = snapshot.steering_revision;
        changes.weights = true;
    }
    return changes;
}

inner::cursor snapshot_client::cursor() const
{
    inner::cursor from{{}, m_state.members_revision, m_state.steering_revision};
    for (const char* name : {"config", "keys", "drains"}) {
        // To a process without the document the agent sends the whole text.
        from.versions.push_back(
            {name, m_needs_text.contains(name) ? 0 : current_version(m_state, name)});
    }
    return from;
}

base::result<std::string> snapshot_client::text_of(const inner::document& document) const
{
    if (document.patches.empty()) {
        return document.text;
    }
    const auto known = m_texts.find(document.name);
    if (known == m_texts.end() ||
        document.base_version != current_version(m_state, document.name)) {
        return base::error{base::error_kind::stale,
                           "the patches start from a version that this process does not have"};
    }
    auto text =
        documents::apply_patches(known->second, {document.patches.begin(), document.patches.end()});
    // Only the digest reveals patches that were made from another text with the same version.
    if (base::is_ok(text) && documents::digest_of(base::value_of(text)) != document.digest) {
        return base::error{base::error_kind::stale, "the patches were made from another text"};
    }
    return text;
}

bool snapshot_client::apply_document(const inner::document& document, fleet_changes& changes)
{
    if (document.patches.empty()) {
        m_needs_text.erase(document.name);
    }
    // Never installs an older version: a restarted agent may have older documents than this
    // process.
    if (document.version <= current_version(m_state, document.name)) {
        return false;
    }
    base::result<std::string> text = text_of(document);
    if (!base::is_ok(text)) {
        telemetry::log_event(telemetry::severity::error, "document_rejected",
                             {{"name", document.name}, {"cause", base::error_of(text).detail}});
        m_needs_text.insert(document.name);
        return false;
    }
    const std::string& content = base::value_of(text);
    if (document.name == "config") {
        const auto outcome = config::parse(content);
        const auto* parsed = parsed_or_null(document.name, outcome);
        if (parsed == nullptr) {
            return false;
        }
        m_state.config = std::make_shared<const config::document>(*parsed);
        m_state.config_version = document.version;
        changes.config = true;
    } else if (document.name == "keys") {
        const auto outcome = config::parse_keys(content);
        const auto* parsed = parsed_or_null(document.name, outcome);
        if (parsed == nullptr) {
            return false;
        }
        m_state.keys = make_key_directory(*parsed);
        m_state.keys_version = document.version;
        changes.keys = true;
    } else if (document.name == "drains") {
        const auto outcome = config::parse_drains(content);
        const auto* parsed = parsed_or_null(document.name, outcome);
        if (parsed == nullptr) {
            return false;
        }
        m_state.drains = *parsed;
        m_state.drains_version = document.version;
        changes.drains = true;
    } else {
        return false;
    }
    m_texts[document.name] = content;
    return true;
}

} // namespace snipeshore::apps
