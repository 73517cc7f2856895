#include "apps/entry/crash_monitor.h"

#include "apps/common/fleet_state.h"
#include "apps/entry/peer_directory.h"
#include "http/loop.h"
#include "inner/node.h"
#include "retries/liveness.h"
#include "retries/quarantine.h"
#include "telemetry/event_log.h"

#include <array>
#include <chrono>
#include <utility>

namespace snipeshore::apps {

namespace {

using namespace std::chrono_literals;

constexpr auto health_check_timeout = 300ms;

/// Pause before a health check without a clear result is repeated. A process needs some
/// milliseconds until all its sockets are closed.
constexpr auto health_check_pause = 10ms;

constexpr auto report_timeout = 300ms;
constexpr std::size_t max_health_response_bytes = 4096;

} // namespace

/// Finds out whether a target that broke a connection has ended.
struct crash_monitor::health_check {
    broken_connection broken;
    base::time_point deadline;
    std::function<void()> done;
    std::unique_ptr<http::client_call> call;
    std::uint64_t timer = 0;
};

crash_monitor::crash_monitor(http::loop& loop, http::client& client, inner::node& node,
                             const fleet_state& fleet, const base::host_id& self)
    : m_loop(loop), m_client(client), m_node(node), m_fleet(fleet), m_self(self),
      m_next_crash_number(
          static_cast<std::uint64_t>(base::boot_clock::now().time_since_epoch().count()))
{}

crash_monitor::~crash_monitor()
{
    for (const auto& check : m_health_checks) {
        m_loop.cancel(check->timer);
        check->call.reset();
    }
}

retries::suspicion crash_monitor::suspicion_of(std::uint64_t fingerprint) const
{
    return retries::suspicion_of(m_crashes, fingerprint, base::boot_clock::now());
}

bool crash_monitor::may_run_beside(std::uint64_t fingerprint,
                                   const std::vector<std::uint64_t>& running) const
{
    return retries::may_run_beside(m_crashes, fingerprint, running, base::boot_clock::now());
}

void crash_monitor::on_broken_connection(broken_connection broken, std::function<void()> done)
{
    const auto check = std::make_shared<health_check>();
    check->broken = std::move(broken);
    check->deadline = base::boot_clock::now() + health_check_timeout;
    check->done = std::move(done);
    m_health_checks.push_back(check);
    send_health_check(check);
}

void crash_monitor::send_health_check(const std::shared_ptr<health_check>& check)
{
    http::client_request request;
    request.address = check->broken.address;
    request.head.method = "GET";
    request.head.path = check->broken.health_path;
    request.head.authority = check->broken.address;
    request.deadline = check->deadline;
    check->call = m_client.fetch(
        std::move(request), max_health_response_bytes,
        [this, check](const base::result<std::pair<http::response_head, std::string>>& response,
                      bool) {
            on_health_checked(check, base::is_ok(response)
                                         ? base::status()
                                         : base::status(base::error_of(response)));
        });
}

void crash_monitor::on_health_checked(const std::shared_ptr<health_check>& check,
                                      const base::status& outcome)
{
    const retries::liveness found = retries::liveness_after(outcome);
    const base::time_point next = base::boot_clock::now() + health_check_pause;
    if (found == retries::liveness::unknown && next < check->deadline) {
        check->timer = m_loop.schedule(next, [this, check] {
            check->timer = 0;
            send_health_check(check);
        });
        return;
    }
    m_health_checks.remove(check);
    if (found == retries::liveness::ended) {
        report(check->broken, check->done);
        return;
    }
    check->done();
}

void crash_monitor::report(const broken_connection& broken, const std::function<void()>& done)
{
    inner::crash_report message{m_self.value(), m_next_crash_number++, broken.target,
                                broken.fingerprints};
    on_crash_report(message);
    telemetry::log_event(
        telemetry::severity::warning, "target_crashed",
        {{"target", broken.target},
         {"fingerprints", static_cast<std::uint64_t>(broken.fingerprints.size())}});
    const std::vector<std::string> peers = other_entry_addresses(m_fleet, m_self);
    if (peers.empty()) {
        done();
        return;
    }
    const auto pending = std::make_shared<std::size_t>(peers.size());
    for (const std::string& address : peers) {
        m_node.report_crash(address, message, base::boot_clock::now() + report_timeout,
                            [pending, done](const base::result<inner::empty_reply>&) {
                                if (--*pending == 0) {
                                    done();
                                }
                            });
    }
}

void crash_monitor::on_success(std::uint64_t fingerprint)
{
    if (suspicion_of(fingerprint) == retries::suspicion::none) {
        return;
    }
    const std::array<std::uint64_t, 1> cleared{fingerprint};
    retries::record_success(m_crashes, cleared);
    for (const std::string& address : other_entry_addresses(m_fleet, m_self)) {
        m_node.report_success(address, {fingerprint}, base::boot_clock::now() + report_timeout,
                              [](const base::result<inner::empty_reply>&) {});
    }
}

void crash_monitor::drop_expired()
{
    retries::drop_expired(m_crashes, base::boot_clock::now());
}

void crash_monitor::on_crash_report(const inner::crash_report& report)
{
    const retries::crash_report converted{report.reporter, report.crash, report.target,
                                          report.fingerprints};
    retries::record_crash(m_crashes, converted, base::boot_clock::now());
}

void crash_monitor::on_success_report(const std::vector<std::uint64_t>& fingerprints)
{
    retries::record_success(m_crashes, fingerprints);
}

const retries::crash_tracker& crash_monitor::crashes() const
{
    return m_crashes;
}

} // namespace snipeshore::apps
