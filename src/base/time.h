/// @file Clock for all time-based decisions.
#pragma once

#include <chrono>

namespace snipeshore::base {

/// Clock based on `CLOCK_BOOTTIME`: monotonic, unaffected by changes of the wall clock, and running
/// while the machine is suspended, so that leases also expire during a suspension.
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

/// In milliseconds, for logs and dumps.
double to_ms(duration time);

} // namespace snipeshore::base
