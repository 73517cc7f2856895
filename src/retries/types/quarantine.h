/// @file State of the crash quarantine.
#pragma once

#include "base/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace snipeshore::retries {

struct quarantine_settings {
    unsigned crashes = 2; ///< Crashes without a success in between that lead to quarantine.
    std::chrono::milliseconds suspicion_duration{std::chrono::minutes(10)};
    std::chrono::milliseconds quarantine_duration{std::chrono::minutes(10)};
    /// Reports of several entry hosts about one target within this time count as one crash.
    std::chrono::milliseconds same_crash_window{1000};
    std::size_t max_suspects = 16384;
    std::size_t max_reports = 4096; ///< Reports remembered to detect duplicates.
};

/// Corresponds to `inner::crash_report`.
struct crash_report {
    std::string reporter;
    std::uint64_t crash = 0;
    std::string target;
    std::vector<std::uint64_t> fingerprints; ///< Requests in flight on the target.
};

struct suspect {
    unsigned crashes = 0;
    std::uint64_t last_target = 0; ///< Hash of the target of the last counted crash.
    base::time_point last_crash;
    base::time_point expires_at; ///< End of the suspicion or quarantine.
};

struct crash_tracker {
    quarantine_settings settings;
    std::unordered_map<std::uint64_t, suspect> suspects;
    std::unordered_set<std::uint64_t> reports; ///< Hashes of reporter and crash.
    std::deque<std::uint64_t> report_order;
};

enum class suspicion : std::uint8_t { none, suspect, quarantined };

} // namespace snipeshore::retries
