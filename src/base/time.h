/// @file The clock that all decisions use.
#pragma once

#include <chrono>

namespace snipeshore::base {

/// Clock of `CLOCK_BOOTTIME`: monotonic, unaffected by wall-clock changes, and it continues while
/// the machine is suspended, so that a lease also expires during a suspension.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock, duration>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

using time_point = boot_clock::time_point;
using duration = boot_clock::duration;

} // namespace snipeshore::base
