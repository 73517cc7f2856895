/// @file Core of the agent, without sockets: documents, membership and snapshots for local
/// processes.
#pragma once

#include "apps/agent/document_set.h"
#include "apps/agent/steering_runner.h"
#include "apps/agent/store_poller.h"
#include "config/types/document.h"
#include "config/types/drains_document.h"
#include "inner/service.h"
#include "membership/types/detection.h"
#include "membership/types/table.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace snipeshore::store {
class document_store;
}

namespace snipeshore::apps {

class peer_calls;

struct agent_settings {
    inner::host_record self; ///< The agent fills in the versions and the entry's state.
    std::uint64_t seed = 0;  ///< Seed of the random choice of peers.
    /// Agents to contact in addition to the platform's host list, so that a host can start while
    /// the platform is down.
    std::vector<std::string> seed_addresses;
    std::chrono::milliseconds exchange_interval{1000};
    std::chrono::milliseconds probe_interval{1000};
    std::chrono::milliseconds call_timeout{1000};
    std::chrono::milliseconds heartbeat_interval{2000};
    /// Time after which a `watch` gets a reply even without updates.
    std::chrono::milliseconds max_watch_wait{1000};
    /// Time without a report after which the entry counts as dead; it reports about once per
    /// second.
    std::chrono::milliseconds entry_timeout{3000};
    std::size_t max_watches = 64;
};

struct agent_callbacks {
    std::function<base::time_point()> now;
    /// Called when another process runs under this host id; this process must stop.
    std::function<void()> on_superseded;
};

/// Driven by `tick`, which is called about ten times per second, and by calls from peers and local
/// processes. Not thread-safe: all calls must be made on one thread.
class agent_core {
public:
    agent_core(agent_settings settings, store::document_store& store, peer_calls& peers,
               agent_callbacks callbacks);
    ~agent_core();
    agent_core(const agent_core&) = delete;
    agent_core& operator=(const agent_core&) = delete;
    agent_core(agent_core&&) = delete;
    agent_core& operator=(agent_core&&) = delete;

    void tick();

    /// Handlers for `inner::node`.
    inner::agent_service service();

    /// Marks this host's record `leaving` and sends it to peers. `done` runs when each of them has
    /// replied or its call has failed.
    void leave(const std::function<void()>& done);

    const document_set& documents() const
    {
        return m_documents;
    }

    const store_poller& poller() const
    {
        return m_poller;
    }

    const membership::table& members() const
    {
        return m_members;
    }

    const inner::host_record& self() const
    {
        return m_settings.self;
    }

    const steering_runner& steering() const
    {
        return m_steering;
    }

    bool may_act() const;
    std::chrono::milliseconds contact_age() const;
    std::size_t pending_watches() const
    {
        return m_watches.size();
    }

private:
    struct pending_watch {
        inner::cursor from;
        base::time_point reply_at;
        inner::reply_sender<inner::snapshot> reply;
    };

    void watch(inner::cursor from, const inner::process_report& report,
               inner::reply_sender<inner::snapshot> reply);
    void on_exchange(const inner::exchange_request& request,
                     const inner::reply_sender<inner::exchange_reply>& reply);
    void on_push(const inner::push_request& request,
                 const inner::reply_sender<inner::empty_reply>& reply);
    void on_probe(const inner::host_record& sender,
                  const inner::reply_sender<inner::host_record>& reply);

    void exchange_round(base::time_point now);
    void on_exchange_reply(const std::string& address, base::time_point sent,
                           const inner::exchange_reply& reply);
    void probe_round(base::time_point now);
    void after_freeze(base::time_point now);

    void merge_records(const std::vector<inner::host_record>& records);
    void install_documents(const std::vector<inner::document>& offered);
    void on_report(const inner::cursor& from, const inner::process_report& report);
    bool is_own_revision(std::uint64_t revision) const;
    void expire_entry_state(base::time_point now);
    void publish_self();
    void on_documents_changed();
    void parse_documents();
    void on_contact(base::time_point when);
    void refresh_weights(base::time_point now);
    bool has_new_weights(const inner::cursor& from) const;
    bool has_updates(const inner::cursor& from) const;
    inner::snapshot snapshot_for(const inner::cursor& from) const;
    void reply_to_watches();
    std::vector<inner::host_record> member_records() const;
    /// Agents from the platform's host list, the settings and the configuration document.
    std::vector<membership::seed> seeds() const;
    template <typename Callback>
    auto while_alive(Callback callback);

    agent_settings m_settings;
    peer_calls& m_peers;
    agent_callbacks m_callbacks;
    document_set m_documents;
    store_poller m_poller;
    membership::table m_members;
    membership::detection m_detection;
    membership::freeze_state m_freeze_state;
    std::mt19937_64 m_random;
    bool m_joining = true;
    bool m_leaving = false;
    bool m_entry_leaving = false;
    std::optional<base::time_point> m_last_entry_report;
    base::time_point m_next_exchange{};
    base::time_point m_next_probe{};
    base::time_point m_next_heartbeat{};
    std::optional<base::time_point> m_last_contact;
    base::document_version m_parsed_config;
    base::document_version m_parsed_drains;
    std::optional<config::document> m_config;
    config::drains_document m_drains;
    steering_runner m_steering;
    std::uint64_t m_steering_revision;
    std::vector<pending_watch> m_watches;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace snipeshore::apps
