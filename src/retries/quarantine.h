/// @file Crash quarantine: a request that crashed its targets twice is not run a third time.
#pragma once

#include "base/time.h"
#include "retries/types/quarantine.h"

#include <cstdint>
#include <span>
#include <string_view>

namespace snipeshore::retries {

/// Returns a hash that identifies repeats of a request: what its caller sends, whatever route or
/// targets it gets. `authority` is the host name to which the path belongs, or what stands for it.
/// `body` may be the beginning of a long body, with the same length for each repeat.
std::uint64_t fingerprint(std::string_view account, std::string_view authority,
                          std::string_view method, std::string_view path, std::string_view body);

/// Records a crash report of this host or another one. Duplicates are ignored.
void record_crash(crash_tracker& crashes, const crash_report& report, base::time_point now);

/// Clears the suspicion of requests that got their response from a target.
void record_success(crash_tracker& crashes, std::span<const std::uint64_t> fingerprints);

suspicion suspicion_of(const crash_tracker& crashes, std::uint64_t fingerprint,
                       base::time_point now);

/// Returns whether a request may be sent to a target on which the requests `running` are in flight.
/// A suspect never runs beside another suspect, so that a crash that one of them causes is not
/// counted for the other.
bool may_run_beside(const crash_tracker& crashes, std::uint64_t fingerprint,
                    std::span<const std::uint64_t> running, base::time_point now);

/// Removes expired suspects.
void drop_expired(crash_tracker& crashes, base::time_point now);

} // namespace snipeshore::retries
