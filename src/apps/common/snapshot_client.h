/// @file Keeps the fleet state of a program up to date from its host's agent.
#pragma once

#include "apps/common/fleet_state.h"
#include "base/result.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace snipeshore::http {
class loop;
}

namespace snipeshore::inner {
class node;
}

namespace snipeshore::apps {

/// Polls `Agent.watch` until it is stopped. While the agent is unreachable, the last received state
/// stays in use.
/// Not thread-safe: used on the loop's thread only.
class snapshot_client {
public:
    using change_callback = std::function<void(const fleet_state&, const fleet_changes&)>;

    snapshot_client(http::loop& loop, inner::node& node, std::string agent_address,
                    std::function<inner::process_report()> report, change_callback on_change);
    ~snapshot_client();
    snapshot_client(const snapshot_client&) = delete;
    snapshot_client& operator=(const snapshot_client&) = delete;
    snapshot_client(snapshot_client&&) = delete;
    snapshot_client& operator=(snapshot_client&&) = delete;

    void start();
    void stop();

    const fleet_state& state() const;

    /// Whether the last call to the agent failed. The agent may then have lost its state.
    bool is_agent_unreachable() const;

    /// Time of the last reply of the agent.
    base::time_point last_reply() const;

private:
    void watch();
    void watch_later();
    void on_reply(base::result<inner::snapshot> reply, base::time_point sent);
    fleet_changes apply(const inner::snapshot& snapshot);
    bool apply_document(const inner::document& document, fleet_changes& changes);
    base::result<std::string> text_of(const inner::document& document) const;
    inner::cursor cursor() const;

    http::loop& m_loop;
    inner::node& m_node;
    std::string m_agent_address;
    std::function<inner::process_report()> m_report;
    change_callback m_on_change;
    fleet_state m_state;
    std::map<std::string, std::string> m_texts;
    std::set<std::string> m_needs_text; ///< Documents whose patches could not be applied.
    base::time_point m_last_reply{};
    bool m_is_agent_unreachable = false;
    bool m_stopped = false;
    /// Callbacks hold a weak reference, so that a late one detects that this object was destroyed.
    std::shared_ptr<snapshot_client*> m_alive;
};

} // namespace snipeshore::apps
