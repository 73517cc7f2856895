/// @file Runs that this host gave up without a response and that may go on at their targets.
#pragma once

#include "base/time.h"
#include "base/types/ids.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace snipeshore::crash_evidence {

struct given_up_run {
    std::uint64_t fingerprint = 0;
    base::time_point sent_at;
    base::time_point given_up_at;
    bool is_outlived = false; ///< The target was alive some time later.
};

/// Runs at one process of a target, in the order in which they were given up.
struct given_up_at_target {
    std::int64_t started_ms = 0; ///< Start of the process, see `target_entry::started_ms`.
    std::string address;
    std::deque<given_up_run> runs;
};

struct given_up_runs {
    std::map<base::target_id, given_up_at_target> targets;
    std::size_t size = 0; ///< Of all targets.
};

} // namespace snipeshore::crash_evidence
