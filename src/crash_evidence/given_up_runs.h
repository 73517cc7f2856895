/// @file Finds out what became of runs that were given up without a response: their callers left,
/// their time was over, or another target was tried. They may still end their target.
#pragma once

#include "base/time.h"
#include "base/types/ids.h"
#include "crash_evidence/types/given_up_runs.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace snipeshore::crash_evidence {

/// A target that ends within this time after a run was given up may have ended because of it.
inline constexpr std::chrono::milliseconds crash_evidence_time{3000};

struct target_process {
    base::target_id target;
    std::int64_t started_ms = 0;
    std::string address;
};

/// Runs beyond a bound are not recorded.
void add_run(given_up_runs& all, const target_process& at, const given_up_run& run);

/// Removes the runs at a target that has ended at most `noticed_within` ago. Returns those that may
/// have ended it.
std::vector<given_up_run> take_ended(given_up_runs& all, const base::target_id& target,
                                     base::duration noticed_within, base::time_point now);

struct outlived_runs {
    std::vector<given_up_run> probably; ///< Most requests that end their target do so sooner.
    std::vector<given_up_run> surely;   ///< They are removed.
};

/// Finds runs that a target which is alive now has outlived. Each run is returned once in each
/// list.
outlived_runs take_outlived(given_up_runs& all, const base::target_id& target,
                            base::time_point now);

std::vector<target_process> processes_of(const given_up_runs& all);

/// Targets at which runs of such requests may still show whether they end their target, or have
/// just shown that they do not.
std::vector<base::target_id> targets_of(const given_up_runs& all,
                                        const std::function<bool(std::uint64_t)>& is_of_interest,
                                        base::time_point now);

/// Removes runs that are too old to be told from others when their target is found to have ended.
void drop_expired(given_up_runs& all, base::time_point now);

} // namespace snipeshore::crash_evidence
