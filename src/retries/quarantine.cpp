#include "retries/quarantine.h"

#include "base/hash.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace snipeshore::retries {

namespace {

std::uint64_t hash_of_report(const crash_report& report)
{
    return base::stable_hash(report.reporter, report.crash);
}

/// Stores the hash of a report. Returns false if the report was recorded before.
bool remember_report(crash_tracker& crashes, const crash_report& report)
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

bool is_quarantined(const quarantine_settings& settings, const suspect& entry)
{
    return entry.crashes >= settings.crashes;
}

/// Makes room for up to `count` new suspects by removing those that expire first. Quarantined ones
/// are removed last, and only while more than half of the capacity is used. All are removed in one
/// pass, because one pass for each new suspect of a report took 78 ms with all `max_suspects` in
/// use and 400 requests in flight.
void evict_suspects(crash_tracker& crashes, std::size_t count, base::time_point now)
{
    const std::size_t max_size = crashes.settings.max_suspects;
    if (crashes.suspects.size() + count <= max_size) {
        return;
    }
    drop_expired(crashes, now);
    const std::size_t size_with_room = max_size - std::min(count, max_size);
    using rank = std::tuple<bool, base::time_point, std::uint64_t>;
    std::vector<rank> ranks;
    ranks.reserve(crashes.suspects.size());
    for (const auto& [fingerprint, entry] : crashes.suspects) {
        ranks.emplace_back(is_quarantined(crashes.settings, entry), entry.expires_at, fingerprint);
    }
    std::sort(ranks.begin(), ranks.end());
    for (const auto& [quarantined, expires_at, fingerprint] : ranks) {
        const std::size_t min_size =
            quarantined ? std::max(size_with_room, max_size / 2) : size_with_room;
        if (crashes.suspects.size() <= min_size) {
            break;
        }
        crashes.suspects.erase(fingerprint);
    }
}

void count_crash(crash_tracker& crashes, std::uint64_t fingerprint, std::uint64_t target,
                 base::time_point now)
{
    auto found = crashes.suspects.find(fingerprint);
    if (found != crashes.suspects.end() && found->second.expires_at <= now) {
        crashes.suspects.erase(found);
        found = crashes.suspects.end();
    }
    if (found == crashes.suspects.end()) {
        found = crashes.suspects.emplace(fingerprint, suspect{}).first;
    }
    suspect& entry = found->second;
    const bool is_same_crash = entry.crashes > 0 && entry.last_target == target &&
                               now - entry.last_crash < crashes.settings.same_crash_window;
    if (is_same_crash) {
        return;
    }
    ++entry.crashes;
    entry.last_target = target;
    entry.last_crash = now;
    entry.expires_at =
        now + (is_quarantined(crashes.settings, entry) ? crashes.settings.quarantine_duration
                                                       : crashes.settings.suspicion_duration);
}

} // namespace

std::uint64_t fingerprint(std::string_view account, std::string_view authority,
                          std::string_view method, std::string_view path, std::string_view body)
{
    std::uint64_t hash = 0;
    for (const std::string_view part : {account, authority, method, path, body}) {
        // Includes the size, so that "ab","c" and "a","bc" give different hashes.
        hash = base::stable_hash(part, hash + part.size());
    }
    return hash;
}

void record_crash(crash_tracker& crashes, const crash_report& report, base::time_point now)
{
    if (!remember_report(crashes, report)) {
        return;
    }
    const std::uint64_t target = base::stable_hash(report.target);
    // Known suspects are counted first, so that they are not evicted for new ones before that.
    std::vector<std::uint64_t> added;
    for (const std::uint64_t fingerprint : report.fingerprints) {
        if (crashes.suspects.contains(fingerprint)) {
            count_crash(crashes, fingerprint, target, now);
        } else {
            added.push_back(fingerprint);
        }
    }
    evict_suspects(crashes, added.size(), now);
    for (const std::uint64_t fingerprint : added) {
        if (crashes.suspects.size() >= crashes.settings.max_suspects) {
            break;
        }
        count_crash(crashes, fingerprint, target, now);
    }
}

void record_success(crash_tracker& crashes, std::span<const std::uint64_t> fingerprints)
{
    for (const std::uint64_t fingerprint : fingerprints) {
        crashes.suspects.erase(fingerprint);
    }
}

suspicion suspicion_of(const crash_tracker& crashes, std::uint64_t fingerprint,
                       base::time_point now)
{
    const auto found = crashes.suspects.find(fingerprint);
    if (found == crashes.suspects.end() || found->second.expires_at <= now) {
        return suspicion::none;
    }
    return is_quarantined(crashes.settings, found->second) ? suspicion::quarantined
                                                           : suspicion::suspect;
}

bool may_run_beside(const crash_tracker& crashes, std::uint64_t fingerprint,
                    std::span<const std::uint64_t> running, base::time_point now)
{
    if (suspicion_of(crashes, fingerprint, now) == suspicion::none) {
        return true;
    }
    return std::all_of(running.begin(), running.end(), [&](std::uint64_t other) {
        return suspicion_of(crashes, other, now) == suspicion::none;
    });
}

void drop_expired(crash_tracker& crashes, base::time_point now)
{
    std::erase_if(crashes.suspects,
                  [&](const auto& entry) { return entry.second.expires_at <= now; });
}

} // namespace snipeshore::retries
