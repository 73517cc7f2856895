#include "apps/host/crash_watch.h"

#include "retries/quarantine.h"

#include <algorithm>
#include <array>

namespace snipeshore::apps {

namespace {

/// Requests in flight at several targets that terminate together are not counted more than once: a
/// request counts again only if it was sent after its last crash was recorded.
bool was_sent_after_crash(const crash_watch& watch, const broken_request& request)
{
    const auto suspect = watch.tracker.suspects.find(request.fingerprint);
    return suspect == watch.tracker.suspects.end() || suspect->second.last_crash < request.sent_at;
}

/// Targets that terminate together count as one event. Several hosts report it, within the interval
/// of their messages.
constexpr std::chrono::seconds same_event_window{6};

bool is_same_event(const crash_watch& watch, std::uint64_t fingerprint, base::time_point now)
{
    const auto suspect = watch.tracker.suspects.find(fingerprint);
    return suspect != watch.tracker.suspects.end() &&
           now - suspect->second.last_crash < same_event_window;
}

} // namespace

crash_watch make_crash_watch()
{
    crash_watch watch;
    // A frequent request may be in flight during two crashes by chance; three in a row without a
    // response are not a coincidence.
    watch.tracker.settings.crashes = 3;
    // Refused requests get no response that could clear the suspicion, so they are tried again
    // after this time.
    watch.tracker.settings.quarantine_duration = std::chrono::seconds(30);
    watch.tracker.settings.suspicion_duration = std::chrono::seconds(60);
    return watch;
}

void on_connection_broken(crash_watch& watch, const broken_request& request)
{
    std::erase_if(watch.broken_requests, [&](const broken_request& old) {
        return request.broken_at - old.broken_at > crash_evidence_time;
    });
    watch.broken_requests.push_back(request);
}

bool on_target_ended(crash_watch& watch, const base::host_id& self, const base::target_id& target,
                     base::time_point now)
{
    fleet::crash_report report{++watch.last_report, target, {}};
    for (const broken_request& request : watch.broken_requests) {
        const bool is_recent = now - request.broken_at <= crash_evidence_time;
        if (request.target == target && is_recent && was_sent_after_crash(watch, request)) {
            report.fingerprints.push_back(request.fingerprint);
        }
    }
    std::erase_if(watch.broken_requests,
                  [&](const broken_request& request) { return request.target == target; });
    if (report.fingerprints.empty()) {
        return false;
    }
    retries::record_crash(watch.tracker,
                          {self.value(), report.crash, target.value(), report.fingerprints}, now);
    watch.reports.push_back({std::move(report), now});
    return true;
}

void on_response_completed(crash_watch& watch, std::uint64_t fingerprint)
{
    if (!watch.tracker.suspects.empty()) {
        retries::record_success(watch.tracker, std::array{fingerprint});
    }
}

void apply_reports(crash_watch& watch, const base::host_id& reporter,
                   const std::vector<fleet::crash_report>& reports, base::time_point now)
{
    for (const fleet::crash_report& report : reports) {
        std::vector<std::uint64_t> counted = report.fingerprints;
        std::erase_if(counted, [&](std::uint64_t fingerprint) {
            return is_same_event(watch, fingerprint, now);
        });
        retries::record_crash(
            watch.tracker, {reporter.value(), report.crash, report.target.value(), counted}, now);
    }
}

std::vector<fleet::crash_report> recent_reports(crash_watch& watch, base::time_point now)
{
    std::erase_if(watch.reports, [now](const own_crash_report& own) {
        return now - own.made_at > crash_report_time;
    });
    std::vector<fleet::crash_report> reports;
    for (const own_crash_report& own : watch.reports) {
        reports.push_back(own.report);
    }
    return reports;
}

bool is_quarantined(const crash_watch& watch, std::uint64_t fingerprint, base::time_point now)
{
    return !watch.tracker.suspects.empty() &&
           retries::suspicion_of(watch.tracker, fingerprint, now) ==
               retries::suspicion::quarantined;
}

} // namespace snipeshore::apps
