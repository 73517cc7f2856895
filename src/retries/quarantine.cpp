#include "retries/quarantine.h"

#include "base/hash.h"

#include <algorithm>

namespace snipeshore::retries {

namespace {

std::uint64_t hash_of_report(const crash_report& report)
{
    return base::stable_hash(report.reporter, report.crash);
}

/// Returns false for a report that was taken before.
bool remember_report(crash_register& crashes, const crash_report& report)
{
    const std::uint64_t hash = hash_of_report(report);
    if (!crashes.reports.insert(hash).second) {
        return false;
    }
    crashes.report_order.push_back(hash);
    if (crashes.report_order.size() > crashes.settings.max_reports) {
        crashes.reports.erase(crashes.report_order.front());
        crashes.report_order.pop_front();
    }
    return true;
}

bool is_quarantined(const suspect& entry)
{
    return entry.crashes >= crashes_to_quarantine;
}

/// Makes room by dropping the suspect that expires first; quarantined ones are kept as long as
/// there is another.
void make_room(crash_register& crashes)
{
    if (crashes.suspects.size() < crashes.settings.max_suspects) {
        return;
    }
    const auto victim = std::min_element(
        crashes.suspects.begin(), crashes.suspects.end(), [](const auto& left, const auto& right) {
            if (is_quarantined(left.second) != is_quarantined(right.second)) {
                return !is_quarantined(left.second);
            }
            return left.second.ends < right.second.ends;
        });
    crashes.suspects.erase(victim);
}

void count_crash(crash_register& crashes, std::uint64_t fingerprint, std::uint64_t target,
                 base::time_point now)
{
    auto found = crashes.suspects.find(fingerprint);
    if (found != crashes.suspects.end() && found->second.ends <= now) {
        crashes.suspects.erase(found);
        found = crashes.suspects.end();
    }
    if (found == crashes.suspects.end()) {
        make_room(crashes);
        found = crashes.suspects.emplace(fingerprint, suspect{}).first;
    }
    suspect& entry = found->second;
    const bool is_same_crash = entry.crashes > 0 && entry.last_target == target &&
                               now - entry.last_crash < crashes.settings.same_crash;
    if (is_same_crash) {
        return;
    }
    ++entry.crashes;
    entry.last_target = target;
    entry.last_crash = now;
    entry.ends = now + (is_quarantined(entry) ? crashes.settings.quarantine_for
                                              : crashes.settings.suspect_for);
}

} // namespace

std::uint64_t fingerprint(std::string_view account, std::string_view service,
                          std::string_view method, std::string_view path, std::string_view body)
{
    std::uint64_t hash = 0;
    for (const std::string_view part : {account, service, method, path, body}) {
        // The size keeps "ab","c" apart from "a","bc".
        hash = base::stable_hash(part, hash + part.size());
    }
    return hash;
}

void record_crash(crash_register& crashes, const crash_report& report, base::time_point now)
{
    if (!remember_report(crashes, report)) {
        return;
    }
    const std::uint64_t target = base::stable_hash(report.target);
    for (const std::uint64_t fingerprint : report.fingerprints) {
        count_crash(crashes, fingerprint, target, now);
    }
}

void record_success(crash_register& crashes, std::span<const std::uint64_t> fingerprints)
{
    for (const std::uint64_t fingerprint : fingerprints) {
        crashes.suspects.erase(fingerprint);
    }
}

suspicion suspicion_of(const crash_register& crashes, std::uint64_t fingerprint,
                       base::time_point now)
{
    const auto found = crashes.suspects.find(fingerprint);
    if (found == crashes.suspects.end() || found->second.ends <= now) {
        return suspicion::none;
    }
    return is_quarantined(found->second) ? suspicion::quarantined : suspicion::suspect;
}

bool may_run_beside(const crash_register& crashes, std::uint64_t fingerprint,
                    std::span<const std::uint64_t> running, base::time_point now)
{
    if (suspicion_of(crashes, fingerprint, now) == suspicion::none) {
        return true;
    }
    return std::all_of(running.begin(), running.end(), [&](std::uint64_t other) {
        return suspicion_of(crashes, other, now) == suspicion::none;
    });
}

void drop_expired(crash_register& crashes, base::time_point now)
{
    std::erase_if(crashes.suspects, [&](const auto& entry) { return entry.second.ends <= now; });
}

} // namespace snipeshore::retries
