#include "crash_evidence/given_up_runs.h"

#include <algorithm>
#include <chrono>
#include <iterator>

namespace snipeshore::crash_evidence {

namespace {

/// A target that is alive this long after a run was given up has probably outlived it. Most crashes
/// come sooner, and an innocent request must be told from others before the third crash.
constexpr std::chrono::milliseconds outlived_time{1000};

/// Hosts that see no connection break learn of an end when the row of the target is replaced or
/// missing, which takes three of its reports.
constexpr std::chrono::seconds retention{10};

/// Time for one more check, which shows that the target has outlived the run.
constexpr std::chrono::milliseconds last_check_time{1000};

/// 32 bytes each; all that 1,000 given-up requests a second leave within `retention`.
constexpr std::size_t max_runs = 10'000;

void drop_front(given_up_runs& all, given_up_at_target& at_target)
{
    at_target.runs.pop_front();
    --all.size;
}

} // namespace

void add_run(given_up_runs& all, const target_process& at, const given_up_run& run)
{
    if (all.size >= max_runs) {
        return;
    }
    given_up_at_target& at_target = all.targets[at.target];
    if (at_target.started_ms != at.started_ms) {
        all.size -= at_target.runs.size();
        at_target.runs.clear();
    }
    at_target.started_ms = at.started_ms;
    at_target.address = at.address;
    at_target.runs.push_back(run);
    ++all.size;
}

std::vector<given_up_run> take_ended(given_up_runs& all, const base::target_id& target,
                                     base::duration noticed_within, base::time_point now)
{
    const auto found = all.targets.find(target);
    if (found == all.targets.end()) {
        return {};
    }
    std::vector<given_up_run> ended;
    for (const given_up_run& run : found->second.runs) {
        if (run.given_up_at + crash_evidence_time >= now - noticed_within) {
            ended.push_back(run);
        }
    }
    all.size -= found->second.runs.size();
    all.targets.erase(found);
    return ended;
}

outlived_runs take_outlived(given_up_runs& all, const base::target_id& target, base::time_point now)
{
    const auto found = all.targets.find(target);
    if (found == all.targets.end()) {
        return {};
    }
    outlived_runs outlived;
    for (given_up_run& run : found->second.runs) {
        if (run.given_up_at + outlived_time > now) {
            break;
        }
        if (!run.is_outlived) {
            run.is_outlived = true;
            outlived.probably.push_back(run);
        }
    }
    std::deque<given_up_run>& runs = found->second.runs;
    while (!runs.empty() && runs.front().given_up_at + crash_evidence_time < now) {
        outlived.surely.push_back(runs.front());
        drop_front(all, found->second);
    }
    if (runs.empty()) {
        all.targets.erase(found);
    }
    return outlived;
}

std::vector<target_process> processes_of(const given_up_runs& all)
{
    std::vector<target_process> processes;
    for (const auto& [target, at_target] : all.targets) {
        processes.push_back({target, at_target.started_ms, at_target.address});
    }
    return processes;
}

std::vector<base::target_id> targets_of(const given_up_runs& all,
                                        const std::function<bool(std::uint64_t)>& is_of_interest,
                                        base::time_point now)
{
    std::vector<base::target_id> targets;
    for (const auto& [target, at_target] : all.targets) {
        const bool is_open =
            std::any_of(at_target.runs.begin(), at_target.runs.end(), [&](const given_up_run& run) {
                return now < run.given_up_at + crash_evidence_time + last_check_time &&
                       is_of_interest(run.fingerprint);
            });
        if (is_open) {
            targets.push_back(target);
        }
    }
    return targets;
}

void drop_expired(given_up_runs& all, base::time_point now)
{
    for (auto at = all.targets.begin(); at != all.targets.end();) {
        while (!at->second.runs.empty() && at->second.runs.front().given_up_at + retention < now) {
            drop_front(all, at->second);
        }
        at = at->second.runs.empty() ? all.targets.erase(at) : std::next(at);
    }
}

} // namespace snipeshore::crash_evidence
