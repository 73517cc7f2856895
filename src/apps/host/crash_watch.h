/// @file Finds requests that crash their targets, so that they are not sent to further ones.
#pragma once

#include "base/time.h"
#include "base/types/ids.h"
#include "fleet/types/exchange.h"
#include "retries/types/quarantine.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace snipeshore::apps {

/// A target that terminates within this time after one of its connections broke is assumed to have
/// crashed because of the request on that connection.
inline constexpr std::chrono::milliseconds crash_evidence_time{3000};

/// Time for which a report is repeated in the messages to other hosts.
inline constexpr std::chrono::milliseconds crash_report_time{5000};

/// A request whose connection broke before the response was complete.
struct broken_request {
    base::target_id target;
    std::uint64_t fingerprint = 0;
    base::time_point sent_at;
    base::time_point broken_at;
};

struct own_crash_report {
    fleet::crash_report report;
    base::time_point made_at;
};

/// Crash state of one host. Fingerprints are computed by `retries::fingerprint`.
struct crash_watch {
    retries::crash_tracker tracker;
    std::vector<broken_request> broken_requests;
    std::vector<own_crash_report> reports;
    std::uint64_t last_report = 0;
};

crash_watch make_crash_watch();

void on_connection_broken(crash_watch& watch, const broken_request& request);

/// Called when the target accepted no connection or has restarted. Returns true if requests are
/// suspected of having crashed it.
bool on_target_ended(crash_watch& watch, const base::host_id& self, const base::target_id& target,
                     base::time_point now);

void on_response_completed(crash_watch& watch, std::uint64_t fingerprint);

/// Records the crash reports of another host.
void apply_reports(crash_watch& watch, const base::host_id& reporter,
                   const std::vector<fleet::crash_report>& reports, base::time_point now);

/// Reports of this host to be sent to other hosts.
std::vector<fleet::crash_report> recent_reports(crash_watch& watch, base::time_point now);

bool is_quarantined(const crash_watch& watch, std::uint64_t fingerprint, base::time_point now);

} // namespace snipeshore::apps
