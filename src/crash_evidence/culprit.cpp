#include "crash_evidence/culprit.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace snipeshore::crash_evidence {

namespace {

/// A frequent request may be running during two crashes by chance; three in a row without a
/// response are not a coincidence.
constexpr std::size_t max_crashes = 3;

/// A request that ended fewer than one target in so many known runs was there by chance.
constexpr std::size_t max_outlived_per_crash = 4;

/// Notices and rows of the store tell times in whole milliseconds. A retry begins sooner than that
/// after the crash before it.
constexpr std::chrono::milliseconds time_resolution{2};

/// Largest number of runs that did not overlap.
std::size_t count_in_row(std::vector<broken_request> runs)
{
    std::sort(runs.begin(), runs.end(),
              [](const broken_request& left, const broken_request& right) {
                  return left.broken_at < right.broken_at;
              });
    std::size_t count = 0;
    base::time_point last{};
    for (const broken_request& run : runs) {
        if (count == 0 || run.sent_at + time_resolution >= last) {
            ++count;
            last = run.broken_at;
        }
    }
    return count;
}

std::size_t count_outlived(const suspect& one)
{
    std::size_t count = one.outlived;
    for (const auto& [host, runs] : one.outlived_elsewhere) {
        count += runs;
    }
    return count;
}

/// Whether a larger part of the known runs of `left` than of those of `right` ended their targets.
bool is_more_suspect(const suspect& left, const suspect& right)
{
    return count_outlived(left) * right.runs.size() < count_outlived(right) * left.runs.size();
}

/// Whether the request was running on the target of `crash` when that ended.
bool was_at(const suspect& one, const broken_request& crash)
{
    return std::any_of(one.runs.begin(), one.runs.end(), [&](const broken_request& run) {
        return run.target == crash.target &&
               std::chrono::abs(run.broken_at - crash.broken_at) < crash_evidence_time;
    });
}

/// Whether a request that crashes its targets more often was there too.
bool is_explained(const crash_watch& watch, const suspect& one, const broken_request& crash)
{
    return std::any_of(watch.suspects.begin(), watch.suspects.end(), [&](const auto& entry) {
        const suspect& other = entry.second;
        return other.runs.size() > 1 && is_more_suspect(other, one) && was_at(other, crash);
    });
}

} // namespace

bool is_culprit(const crash_watch& watch, const suspect& one, std::vector<broken_request> runs)
{
    if (count_in_row(runs) < max_crashes) {
        return false;
    }
    if (count_outlived(one) == 0) {
        return true;
    }
    if (count_outlived(one) > max_outlived_per_crash * runs.size()) {
        return false;
    }
    std::erase_if(runs, [&](const broken_request& run) { return is_explained(watch, one, run); });
    return count_in_row(std::move(runs)) >= max_crashes;
}

} // namespace snipeshore::crash_evidence
