#include "signals/target_rest.h"

#include <algorithm>
#include <chrono>

namespace snipeshore::signals {

namespace {

/// The return of all hosts to a target, and that of refused callers, is spread over this fraction
/// of the time at most.
constexpr double spread_fraction = 0.5;

/// Beyond this, spreading would only keep a target idle that takes requests again.
constexpr std::chrono::seconds max_spread{2};

/// Time per host over which the fleet returns: targets take some hundred requests per second.
constexpr std::chrono::milliseconds spread_per_host{10};

/// Requests in progress with which a host returns to a target.
constexpr std::uint32_t first_allowed = 1;

base::duration spread_of(base::duration time)
{
    const auto spread = std::chrono::duration<double>(time) * spread_fraction;
    return std::min<base::duration>(std::chrono::duration_cast<base::duration>(spread), max_spread);
}

base::duration random_part(base::duration spread, std::uint64_t random)
{
    constexpr std::uint64_t steps = 1U << 16U;
    return spread / steps * (random % steps);
}

} // namespace

void ask_rest(target_signals& signals, const rest_request& rest, base::time_point now)
{
    signals.allowed = first_allowed;
    const base::time_point until = now + rest.time;
    if (signals.rests_until.has_value() && *signals.rests_until >= until) {
        return;
    }
    const base::duration spread = std::min<base::duration>(
        spread_of(rest.time), spread_per_host * static_cast<std::int64_t>(rest.hosts));
    signals.rests_until = until;
    signals.returns_at = until + random_part(spread, rest.random);
}

void on_completed(target_signals& signals, std::uint32_t slots, base::time_point now)
{
    // A request may have been sent before the target asked for the rest.
    if (!signals.rests_until.has_value() || now < signals.returns_at) {
        return;
    }
    signals.allowed *= 2;
    if (signals.allowed >= slots) {
        signals.rests_until.reset();
    }
}

bool may_send(const target_signals& signals, std::uint32_t running, base::time_point now)
{
    if (signals.is_leaving) {
        return false;
    }
    return !signals.rests_until.has_value() ||
           (now >= signals.returns_at && running < signals.allowed);
}

std::optional<base::time_point> return_time(const target_signals& signals, base::time_point now)
{
    if (signals.is_leaving || !signals.rests_until.has_value() || now >= signals.returns_at) {
        return std::nullopt;
    }
    return signals.returns_at;
}

base::duration spread_delay(base::duration earliest, std::uint64_t random)
{
    return earliest + random_part(spread_of(earliest), random);
}

} // namespace snipeshore::signals
