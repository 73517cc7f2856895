#include "apps/agent/agent_core.h"

#include "apps/agent/peer_calls.h"
#include "config/parse.h"
#include "membership/detection.h"
#include "membership/peers.h"
#include "membership/table.h"
#include "telemetry/event_log.h"

#include <algorithm>
#include <set>
#include <utility>

namespace snipeshore::apps {

namespace {

const membership::table_limits table_limits;
const membership::detection_settings detection_settings;
const membership::peer_settings peer_settings;

// Contact age reported before the first contact; local processes treat the documents as this old.
constexpr std::chrono::hours age_before_first_contact{24};

// Number of peers that this host notifies of a planned stop; they notify the others.
constexpr std::size_t max_leave_peers = 8;

// Boot clocks differ between hosts, so the elected host cannot be rotated by time. With a fixed
// interval another host is elected when the elected one is marked dead.
constexpr std::uint64_t election_interval = 0;

std::uint64_t version_of(const std::vector<inner::document_version>& versions,
                         const std::string& name)
{
    const auto found = std::find_if(versions.begin(), versions.end(),
                                    [&](const auto& item) { return item.name == name; });
    return found == versions.end() ? 0 : found->version;
}

} // namespace

agent_core::agent_core(agent_settings settings, store::document_store& store, peer_calls& peers,
                       agent_callbacks callbacks)
    : m_settings(std::move(settings)), m_peers(peers), m_callbacks(std::move(callbacks)),
      m_poller(store, m_documents, {},
               {[this] { on_documents_changed(); },
                [this](base::time_point when) { on_contact(when); },
                [] {
                }}),
      m_random(m_settings.seed),
      // Revisions differ between runs of the agent, so that a local process detects a restart.
      m_steering_revision(m_settings.self.incarnation.value())
{
    m_members.revision = m_settings.self.incarnation.value();
    publish_self();
}

agent_core::~agent_core() = default;

template <typename Callback>
auto agent_core::while_alive(Callback callback)
{
    return [weak = std::weak_ptr(m_alive), callback = std::move(callback)](const auto& outcome) {
        if (weak.lock() != nullptr) {
            callback(outcome);
        }
    };
}

void agent_core::tick()
{
    const auto now = m_callbacks.now();
    if (membership::observe_tick(m_freeze_state, now, detection_settings)) {
        after_freeze(now);
    }
    m_poller.tick(now, membership::is_elected(m_members, m_settings.self, election_interval));
    membership::remove_long_dead(m_members, now, table_limits);
    expire_entry_state(now);
    if (now >= m_next_heartbeat) {
        m_next_heartbeat = now + m_settings.heartbeat_interval;
        if (membership::sends_domain_heartbeat(m_members, m_settings.self)) {
            publish_self();
        }
    }
    if (now >= m_next_probe) {
        m_next_probe = now + m_settings.probe_interval;
        probe_round(now);
    }
    if (may_act()) {
        for (const auto& record : membership::mark_dead(m_members, m_detection, now)) {
            telemetry::log_event(telemetry::severity::warning, "host_dead",
                                 {{"host", record.host.value()}});
            m_next_exchange = now;
        }
        refresh_weights(now);
    }
    if (now >= m_next_exchange) {
        m_next_exchange = now + m_settings.exchange_interval;
        exchange_round(now);
    }
    reply_to_watches();
}

inner::agent_service agent_core::service()
{
    inner::agent_service handlers;
    handlers.watch = [this](inner::cursor from, const inner::process_report& report,
                            inner::reply_sender<inner::snapshot> reply) {
        watch(std::move(from), report, std::move(reply));
    };
    handlers.exchange = [this](const inner::exchange_request& request,
                               const inner::reply_sender<inner::exchange_reply>& reply) {
        on_exchange(request, reply);
    };
    handlers.push = [this](const inner::push_request& request,
                           const inner::reply_sender<inner::empty_reply>& reply) {
        on_push(request, reply);
    };
    handlers.probe = [this](const inner::host_record& sender,
                            const inner::reply_sender<inner::host_record>& reply) {
        on_probe(sender, reply);
    };
    return handlers;
}

void agent_core::leave(const std::function<void()>& done)
{
    m_leaving = true;
    publish_self();
    reply_to_watches();
    std::vector<std::string> addresses;
    for (const bool own_domain : {true, false}) {
        for (const auto& [host, item] : m_members.members) {
            const auto& record = item.record;
            const bool in_domain = record.failure_domain == m_settings.self.failure_domain;
            if (host != m_settings.self.host && in_domain == own_domain &&
                record.status != inner::host_status::dead && addresses.size() < max_leave_peers) {
                addresses.push_back(record.agent_address);
            }
        }
    }
    if (addresses.empty()) {
        done();
        return;
    }
    const auto pending = std::make_shared<std::size_t>(addresses.size());
    const auto deadline = m_callbacks.now() + m_settings.call_timeout;
    for (const std::string& address : addresses) {
        m_peers.push(address, {{}, {m_settings.self}}, deadline,
                     while_alive([pending, done](const base::result<inner::empty_reply>&) {
                         if (--*pending == 0) {
                             done();
                         }
                     }));
    }
}

bool agent_core::may_act() const
{
    return membership::may_act(m_freeze_state, m_callbacks.now());
}

std::chrono::milliseconds agent_core::contact_age() const
{
    if (!m_last_contact) {
        return age_before_first_contact;
    }
    const auto age = m_callbacks.now() - *m_last_contact;
    return std::max(std::chrono::ceil<std::chrono::milliseconds>(age),
                    std::chrono::milliseconds(0));
}

void agent_core::watch(inner::cursor from, const inner::process_report& report,
                       inner::reply_sender<inner::snapshot> reply)
{
    on_report(from, report);
    if (has_updates(from)) {
        reply(snapshot_for(from));
        return;
    }
    if (m_watches.size() >= m_settings.max_watches) {
        reply(base::error{base::error_kind::overloaded, "too many pending watch calls"});
        return;
    }
    m_watches.push_back(
        {std::move(from), m_callbacks.now() + m_settings.max_watch_wait, std::move(reply)});
}

void agent_core::on_exchange(const inner::exchange_request& request,
                             const inner::reply_sender<inner::exchange_reply>& reply)
{
    merge_records({request.sender});
    reply(inner::exchange_reply{m_documents.versions(), m_documents.newer_than(request.versions),
                                membership::records_to_send(m_members, request.hashes),
                                contact_age()});
}

void agent_core::on_push(const inner::push_request& request,
                         const inner::reply_sender<inner::empty_reply>& reply)
{
    merge_records(request.records);
    install_documents(request.documents);
    reply(inner::empty_reply{});
}

void agent_core::on_probe(const inner::host_record& sender,
                          const inner::reply_sender<inner::host_record>& reply)
{
    merge_records({sender});
    reply(m_settings.self);
}

void agent_core::exchange_round(base::time_point now)
{
    const auto peers =
        membership::choose_peers(m_members, m_settings.self, seeds(), peer_settings, m_random);
    for (const std::string& address : peers) {
        m_peers.exchange(
            address,
            {m_settings.self, m_documents.versions_for_exchange(),
             membership::domain_hashes(m_members)},
            now + m_settings.call_timeout,
            while_alive([this, address, now](const base::result<inner::exchange_reply>& reply) {
                if (base::is_ok(reply)) {
                    on_exchange_reply(address, now, base::value_of(reply));
                }
            }));
    }
}

void agent_core::on_exchange_reply(const std::string& address, base::time_point sent,
                                   const inner::exchange_reply& reply)
{
    merge_records(reply.records);
    m_joining = false;
    install_documents(reply.documents);
    membership::on_peer_answered(m_freeze_state, sent);
    const auto own_versions = m_documents.versions();
    const bool up_to_date =
        std::all_of(reply.versions.begin(), reply.versions.end(), [&](const auto& item) {
            return version_of(own_versions, item.name) >= item.version;
        });
    // The peer's documents are at most this old; overestimating the age is safe.
    if (up_to_date) {
        on_contact(sent - reply.contact_age);
    }
    const auto peer =
        std::find_if(m_members.members.begin(), m_members.members.end(),
                     [&](const auto& item) { return item.second.record.agent_address == address; });
    if (up_to_date && peer != m_members.members.end() &&
        peer->second.record.failure_domain != m_settings.self.failure_domain) {
        on_contact(sent);
    }
    inner::push_request missing{m_documents.newer_than(reply.versions),
                                membership::records_peer_lacks(m_members, reply.records)};
    if (!missing.documents.empty() || !missing.records.empty()) {
        m_peers.push(address, std::move(missing), m_callbacks.now() + m_settings.call_timeout,
                     [](const base::result<inner::empty_reply>&) {
                         // The result is ignored: the next exchange detects what is still missing.
                     });
    }
}

void agent_core::probe_round(base::time_point now)
{
    const auto hosts = membership::ring_successors(m_members, m_settings.self,
                                                   detection_settings.probed_successors);
    membership::set_probed(m_detection, hosts, now, detection_settings);
    for (const base::host_id& host : hosts) {
        m_peers.probe(m_members.members.at(host).record.agent_address, m_settings.self,
                      now + m_settings.call_timeout,
                      while_alive([this, host, now](const base::result<inner::host_record>& reply) {
                          // A different host may reply at the address of a host that was replaced.
                          if (!base::is_ok(reply) || base::value_of(reply).host != host) {
                              return;
                          }
                          membership::on_peer_answered(m_freeze_state, now);
                          membership::on_probe_answered(m_detection, host, m_callbacks.now(),
                                                        detection_settings);
                          merge_records({base::value_of(reply)});
                      }));
    }
}

void agent_core::after_freeze(base::time_point now)
{
    telemetry::log_event(telemetry::severity::warning, "resumed_after_gap", {});
    membership::restart_deadlines(m_detection, now, detection_settings);
    if (m_last_entry_report) {
        m_last_entry_report = now;
    }
    m_next_exchange = now;
    m_next_probe = now;
}

void agent_core::merge_records(const std::vector<inner::host_record>& records)
{
    const auto now = m_callbacks.now();
    for (const inner::host_record& record : records) {
        if (record.host != m_settings.self.host) {
            membership::merge(m_members, record, now, table_limits);
            continue;
        }
        switch (membership::check_self(m_settings.self, record, m_joining)) {
        case membership::self_check::refuted:
            publish_self();
            m_next_exchange = now;
            break;
        case membership::self_check::superseded:
            telemetry::log_event(telemetry::severity::error, "superseded",
                                 {{"by", record.agent_address}});
            m_callbacks.on_superseded();
            break;
        case membership::self_check::agrees:
            break;
        }
    }
}

void agent_core::install_documents(const std::vector<inner::document>& offered)
{
    bool installed = false;
    for (const inner::document& document : offered) {
        installed =
            m_documents.install(document) == documents::install_outcome::installed || installed;
    }
    if (installed) {
        on_documents_changed();
    }
}

bool agent_core::is_own_revision(std::uint64_t revision) const
{
    return revision >= m_settings.self.incarnation.value() && revision <= m_steering_revision;
}

void agent_core::on_report(const inner::cursor& from, const inner::process_report& report)
{
    if (report.entry_incarnation.value() == 0) {
        const bool foreign =
            from.steering_revision != 0 && !is_own_revision(from.steering_revision);
        m_steering.on_report(report, foreign, m_callbacks.now());
        return;
    }
    m_last_entry_report = m_callbacks.now();
    auto& self = m_settings.self;
    const auto seen = std::make_tuple(report.entry_incarnation, report.ticket_epoch,
                                      report.config_version, report.leaving);
    const auto known = std::make_tuple(self.entry_incarnation, self.ticket_epoch,
                                       self.entry_config_version, m_entry_leaving);
    if (seen == known) {
        return;
    }
    self.entry_incarnation = report.entry_incarnation;
    self.ticket_epoch = report.ticket_epoch;
    self.entry_config_version = report.config_version;
    m_entry_leaving = report.leaving;
    publish_self();
    m_next_exchange = m_callbacks.now();
}

void agent_core::expire_entry_state(base::time_point now)
{
    if (!m_last_entry_report || now - *m_last_entry_report <= m_settings.entry_timeout) {
        return;
    }
    m_last_entry_report.reset();
    m_entry_leaving = false;
    m_settings.self.entry_incarnation = base::incarnation(0);
    m_settings.self.entry_config_version = 0;
    telemetry::log_event(telemetry::severity::warning, "entry_silent", {});
    publish_self();
    m_next_exchange = now;
}

void agent_core::publish_self()
{
    auto& self = m_settings.self;
    ++self.counter;
    self.status =
        m_leaving || m_entry_leaving ? inner::host_status::leaving : inner::host_status::live;
    self.versions = m_documents.versions();
    membership::merge(m_members, self, m_callbacks.now(), table_limits);
}

void agent_core::on_documents_changed()
{
    parse_documents();
    publish_self();
    // Each host forwards a new version at once, so it reaches all hosts in a few round trips.
    m_next_exchange = m_callbacks.now();
    reply_to_watches();
}

void agent_core::parse_documents()
{
    const auto& config = m_documents.get("config");
    if (config.version != m_parsed_config) {
        m_parsed_config = config.version;
        auto parsed = config::parse(config.text);
        if (auto* document = std::get_if<config::document>(&parsed)) {
            m_config = std::move(*document);
            m_steering.set_document(*m_config);
        } else {
            telemetry::log_event(telemetry::severity::error, "document_rejected",
                                 {{"name", "config"}, {"version", config.version.value()}});
        }
    }
    const auto& drains = m_documents.get("drains");
    if (drains.version != m_parsed_drains) {
        m_parsed_drains = drains.version;
        auto parsed = config::parse_drains(drains.text);
        if (auto* document = std::get_if<config::drains_document>(&parsed)) {
            m_drains = std::move(*document);
        } else {
            telemetry::log_event(telemetry::severity::error, "document_rejected",
                                 {{"name", "drains"}, {"version", drains.version.value()}});
        }
    }
}

void agent_core::on_contact(base::time_point when)
{
    if (!m_last_contact || *m_last_contact < when) {
        m_last_contact = when;
    }
}

void agent_core::refresh_weights(base::time_point now)
{
    if (!m_config) {
        return;
    }
    std::set<base::failure_domain_id> reachable{m_settings.self.failure_domain};
    for (const auto& [domain, last_contact] : m_members.domain_last_contact) {
        if (membership::is_reachable(m_members, domain, now, table_limits)) {
            reachable.insert(domain);
        }
    }
    if (m_steering.tick(member_records(), reachable, m_drains, now)) {
        ++m_steering_revision;
    }
}

bool agent_core::has_new_weights(const inner::cursor& from) const
{
    // Until the first decision, a process keeps its current weights.
    return !m_steering.weights().empty() && !m_steering.is_held() &&
           from.steering_revision != m_steering_revision;
}

bool agent_core::has_updates(const inner::cursor& from) const
{
    const auto own_versions = m_documents.versions();
    return from.members_revision != m_members.revision || has_new_weights(from) ||
           std::any_of(own_versions.begin(), own_versions.end(), [&](const auto& item) {
               return item.version > version_of(from.versions, item.name);
           });
}

inner::snapshot agent_core::snapshot_for(const inner::cursor& from) const
{
    inner::snapshot snapshot;
    snapshot.documents = m_documents.newer_than(from.versions);
    if (from.members_revision != m_members.revision) {
        snapshot.members = member_records();
    }
    snapshot.members_revision = m_members.revision;
    snapshot.steering_revision = from.steering_revision;
    if (has_new_weights(from)) {
        snapshot.weights = m_steering.weights();
        snapshot.steering_revision = m_steering_revision;
    }
    snapshot.contact_age = contact_age();
    snapshot.listed_known = m_poller.listed_known();
    for (const membership::seed& listed : m_poller.seeds()) {
        snapshot.listed_hosts.push_back(listed.host);
    }
    return snapshot;
}

void agent_core::reply_to_watches()
{
    const auto now = m_callbacks.now();
    std::vector<pending_watch> waiting;
    for (pending_watch& watch : std::exchange(m_watches, {})) {
        if (now >= watch.reply_at || has_updates(watch.from)) {
            watch.reply(snapshot_for(watch.from));
        } else {
            waiting.push_back(std::move(watch));
        }
    }
    std::move(waiting.begin(), waiting.end(), std::back_inserter(m_watches));
}

std::vector<membership::seed> agent_core::seeds() const
{
    auto all = m_poller.seeds();
    for (const std::string& address : m_settings.seed_addresses) {
        all.push_back({{}, {}, address});
    }
    if (m_config) {
        for (const config::host& host : m_config->hosts) {
            all.push_back({host.id, host.failure_domain, host.agent_address});
        }
    }
    return all;
}

std::vector<inner::host_record> agent_core::member_records() const
{
    std::vector<inner::host_record> records;
    records.reserve(m_members.members.size());
    for (const auto& [host, item] : m_members.members) {
        records.push_back(item.record);
    }
    return records;
}

} // namespace snipeshore::apps
