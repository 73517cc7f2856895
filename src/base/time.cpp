#include "base/time.h"

#include <ctime>

namespace snipeshore::base {

boot_clock::time_point boot_clock::now() noexcept
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

double to_ms(duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace snipeshore::base
