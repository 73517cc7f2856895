#include "retries/response_progress.h"

#include <algorithm>
#include <chrono>

namespace snipeshore::retries {

namespace {

/// A response without a byte for this long has stopped. Two retransmissions of a lost segment, 200
/// and 400 ms after each other, take as long.
constexpr std::chrono::milliseconds max_silence{600};

} // namespace

delay_cause find_delay_cause(const response_progress& progress, base::time_point now)
{
    if (!progress.last_byte_at.has_value()) {
        return delay_cause::silent_target;
    }
    if (progress.pauses.is_paused) {
        return delay_cause::slow_caller;
    }
    // Nothing could arrive while reading was paused.
    const base::time_point silent_since =
        std::max(*progress.last_byte_at, progress.pauses.resumed_at);
    if (now - silent_since >= max_silence) {
        return delay_cause::silent_target;
    }
    return progress.pauses.was_paused ? delay_cause::slow_caller : delay_cause::slow_target;
}

std::string_view to_string(delay_cause cause)
{
    switch (cause) {
    case delay_cause::silent_target:
        return "silent_target";
    case delay_cause::slow_target:
        return "slow_target";
    case delay_cause::slow_caller:
        return "slow_caller";
    }
    return "unknown";
}

std::string_view describe(delay_cause cause)
{
    switch (cause) {
    case delay_cause::silent_target:
        return "the deadline passed while the target sent nothing";
    case delay_cause::slow_target:
        return "the deadline passed while the target was sending its response";
    case delay_cause::slow_caller:
        return "the deadline passed while the caller did not read the response";
    }
    return "the deadline passed";
}

} // namespace snipeshore::retries
