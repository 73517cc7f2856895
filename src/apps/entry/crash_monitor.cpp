#include "apps/entry/crash_monitor.h"

#include "apps/common/fleet_state.h"
#include "apps/entry/peer_directory.h"
#include "inner/node.h"
#include "retries/quarantine.h"
#include "telemetry/event_log.h"

#include <array>
#include <chrono>
#include <utility>

namespace snipeshore::apps {

namespace {

using namespace std::chrono_literals;

constexpr auto health_check_timeout = 300ms;
constexpr auto report_timeout = 300ms;
constexpr std::size_t max_health_response_bytes = 4096;

} // namespace

/// Health request that is sent to a target after it broke a connection.
struct crash_monitor::health_check {
    std::unique_ptr<http::client_call> call;
};

crash_monitor::crash_monitor(http::client& client, inner::node& node, const fleet_state& fleet,
                             const base::host_id& self)
    : m_client(client), m_node(node), m_fleet(fleet), m_self(self),
      m_next_crash_number(
          static_cast<std::uint64_t>(base::boot_clock::now().time_since_epoch().count()))
{}

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
    http::client_request request;
    request.address = broken.address;
    request.head.method = "GET";
    request.head.path = broken.health_path;
    request.head.authority = broken.address;
    request.deadline = base::boot_clock::now() + health_check_timeout;
    const auto check = std::make_shared<health_check>();
    m_health_checks.push_back(check);
    check->call = m_client.fetch(
        std::move(request), max_health_response_bytes,
        [this, check, broken = std::move(broken), done = std::move(done)](
            const base::result<std::pair<http::response_head, std::string>>& response, bool) {
            m_health_checks.remove(check);
            const bool refused = !base::is_ok(response) &&
                                 base::error_of(response).kind == base::error_kind::connect_failed;
            if (!refused) {
                done();
                return;
            }
            report(broken, done);
        });
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
