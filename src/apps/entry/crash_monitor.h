/// @file Detects requests that crash targets and shares the findings with the other entry
/// processes.
#pragma once

#include "base/result.h"
#include "base/time.h"
#include "base/types/ids.h"
#include "http/client.h"
#include "inner/types/messages.h"
#include "retries/types/quarantine.h"

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace snipeshore::http {
class loop;
}

namespace snipeshore::inner {
class node;
}

namespace snipeshore::apps {

struct fleet_state;

/// Owns the crash tracker. Must only be used on the thread of the event loop.
class crash_monitor {
public:
    crash_monitor(http::loop& loop, http::client& client, inner::node& node,
                  const fleet_state& fleet, const base::host_id& self);
    ~crash_monitor();
    crash_monitor(const crash_monitor&) = delete;
    crash_monitor& operator=(const crash_monitor&) = delete;
    crash_monitor(crash_monitor&&) = delete;
    crash_monitor& operator=(crash_monitor&&) = delete;

    retries::suspicion suspicion_of(std::uint64_t fingerprint) const;

    /// Returns whether the request may be sent to a target on which the requests `running` are in
    /// flight.
    bool may_run_beside(std::uint64_t fingerprint, const std::vector<std::uint64_t>& running) const;

    struct broken_connection {
        std::string target;
        std::string address;
        std::string health_path;
        std::vector<std::uint64_t> fingerprints; ///< Requests in flight on the target.
    };

    /// To be called when a target closed a connection without a response. Checks whether the target
    /// still accepts connections, because a lost connection alone does not prove a crash. A check
    /// that breaks as well is repeated: it may have used a connection that the process that is
    /// ending had not closed yet. A crash is reported to all entry processes. Calls `done` when all
    /// of them have replied or the deadline has passed, so that the caller receives its response,
    /// and may send the request again to another host, only after that.
    void on_broken_connection(broken_connection broken, std::function<void()> done);

    void on_success(std::uint64_t fingerprint);

    /// Removes expired suspects. They have no effect on requests any more, but would still be
    /// counted in the metrics.
    void drop_expired();

    void on_crash_report(const inner::crash_report& report);
    void on_success_report(const std::vector<std::uint64_t>& fingerprints);

    const retries::crash_tracker& crashes() const;

private:
    struct health_check;

    void send_health_check(const std::shared_ptr<health_check>& check);
    void on_health_checked(const std::shared_ptr<health_check>& check, const base::status& outcome);
    void report(const broken_connection& broken, const std::function<void()>& done);

    http::loop& m_loop;
    http::client& m_client;
    inner::node& m_node;
    const fleet_state& m_fleet;
    base::host_id m_self;
    retries::crash_tracker m_crashes;
    std::uint64_t m_next_crash_number;
    std::list<std::shared_ptr<health_check>> m_health_checks;
};

} // namespace snipeshore::apps
