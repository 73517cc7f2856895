/// @file Crash quarantine: a request that crashes its targets is not run a third time.
#pragma once

#include "base/time.h"
#include "retries/types/quarantine.h"

#include <cstdint>
#include <span>
#include <string_view>

namespace snipeshore::retries {

/// Identifies repeats of a request. `body` may be the first part of a long body, the same part for
/// each repeat.
std::uint64_t fingerprint(std::string_view account, std::string_view service,
                          std::string_view method, std::string_view path, std::string_view body);

/// Takes an own or received report. A duplicate changes nothing.
void record_crash(crash_tracker& crashes, const crash_report& report, base::time_point now);

/// A request with one of these fingerprints got its response from a target.
void record_success(crash_tracker& crashes, std::span<const std::uint64_t> fingerprints);

suspicion suspicion_of(const crash_tracker& crashes, std::uint64_t fingerprint,
                       base::time_point now);

/// Whether a request may go to a target on which the requests `running` are in flight: a suspect
/// never runs beside another suspect, so that a harmless one is not counted in its crash.
bool may_run_beside(const crash_tracker& crashes, std::uint64_t fingerprint,
                    std::span<const std::uint64_t> running, base::time_point now);

/// Drops what has expired.
void drop_expired(crash_tracker& crashes, base::time_point now);

} // namespace snipeshore::retries
