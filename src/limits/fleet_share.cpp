#include "limits/fleet_share.h"

#include <algorithm>
#include <cmath>

namespace snipeshore::limits {

namespace {

/// Time constant of the moving average of the demand; short enough to follow a sudden increase.
constexpr double demand_time_constant_s = 1.0;

/// Longest time that `time_to_token` returns, since the limit may change before then.
constexpr std::chrono::seconds max_wait{5};

/// Fraction of the proportional overrun that is used.
constexpr double used_overrun_fraction = 0.8;

/// Fractions of the fixed overrun that are added to the burst and, per window, to the rate.
constexpr double burst_overrun_fraction = 0.4;
constexpr double rate_overrun_fraction = 0.35;

double seconds_between(base::time_point from, base::time_point to)
{
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

void refill(fleet_share& share, base::time_point now)
{
    const double grown = share.tokens + share.own.rate * seconds_between(share.refilled, now);
    share.tokens = std::min(grown, share.own.burst);
    share.refilled = std::max(share.refilled, now);
    if (now >= share.grants_expire) {
        share.granted_tokens = 0;
    }
}

void decay_demand(fleet_share& share, base::time_point now)
{
    share.demand *= std::exp(-seconds_between(share.demand_updated, now) / demand_time_constant_s);
    share.demand_updated = now;
}

/// Demand until `until` minus the tokens refilled by then.
double expected_shortfall(const fleet_share& share, base::time_point now, base::time_point until)
{
    return (share.demand - share.own.rate) * seconds_between(now, until);
}

} // namespace

fleet_limit with_overrun(const fleet_limit& limit, const allowed_overrun& overrun)
{
    const double window_s = std::chrono::duration<double>(overrun.window).count();
    const double factor = 1 + overrun.fraction * used_overrun_fraction;
    fleet_limit divided{limit.rate * factor, limit.burst * factor};
    if (limit.rate > 0) {
        divided.burst += overrun.requests * burst_overrun_fraction;
        divided.rate += overrun.requests * rate_overrun_fraction / window_s;
    }
    return divided;
}

std::size_t share_owner_count(const fleet_limit& limit, std::size_t hosts)
{
    const double whole = std::floor(std::max(1.0, limit.burst));
    return static_cast<std::size_t>(std::min(static_cast<double>(hosts), whole));
}

void set_limit(fleet_share& share, const fleet_limit& limit, std::size_t owners,
               base::time_point now)
{
    if (share.is_set) {
        refill(share, now);
    }
    share.is_set = true;
    share.is_limited = limit.rate > 0;
    share.refilled = now;
    if (owners == 0) {
        share.own = {};
    } else {
        const auto parts = static_cast<double>(owners);
        share.own = {limit.rate / parts, std::max(1.0, limit.burst) / parts};
    }
    share.tokens = std::min(share.tokens, share.own.burst);
}

void refill_from(fleet_share& share, base::time_point since)
{
    share.tokens = 0;
    share.refilled = since;
}

bool try_acquire(fleet_share& share, base::time_point now)
{
    decay_demand(share, now);
    share.demand += 1 / demand_time_constant_s;
    return retry_acquire(share, now);
}

bool retry_acquire(fleet_share& share, base::time_point now)
{
    if (!share.is_limited) {
        return true;
    }
    refill(share, now);
    if (share.granted_tokens + share.tokens < 1) {
        return false;
    }
    const double from_gifts = std::min(1.0, share.granted_tokens);
    share.granted_tokens -= from_gifts;
    share.tokens -= 1 - from_gifts;
    return true;
}

void return_token(fleet_share& share, base::time_point now)
{
    if (!share.is_limited) {
        return;
    }
    refill(share, now);
    // A token above the own burst came from a grant, which may have expired meanwhile.
    share.tokens = std::min(share.tokens + 1, std::max(share.own.burst, share.tokens));
}

base::duration time_to_token(const fleet_share& share, base::time_point now)
{
    const double missing = 1 - share.tokens - share.own.rate * seconds_between(share.refilled, now);
    if (missing <= 0) {
        return base::duration{0};
    }
    if (share.own.rate <= 0) {
        return max_wait;
    }
    return std::min<base::duration>(std::chrono::duration_cast<base::duration>(
                                        std::chrono::duration<double>(missing / share.own.rate)),
                                    max_wait);
}

double wanted_tokens(fleet_share& share, base::time_point now, base::time_point until)
{
    if (!share.is_limited) {
        return 0;
    }
    refill(share, now);
    decay_demand(share, now);
    return std::max(0.0,
                    expected_shortfall(share, now, until) - share.tokens - share.granted_tokens);
}

double grant_tokens(fleet_share& share, double wanted, base::time_point now, base::time_point until)
{
    if (!share.is_limited) {
        return 0;
    }
    refill(share, now);
    decay_demand(share, now);
    const double kept = std::max(0.0, expected_shortfall(share, now, until));
    const double given = std::clamp(share.tokens - kept, 0.0, std::max(0.0, wanted));
    share.tokens -= given;
    return given;
}

void receive_grant(fleet_share& share, double tokens, base::time_point now)
{
    refill(share, now);
    const double kept = std::clamp(share.own.burst - share.tokens, 0.0, tokens);
    share.tokens += kept;
    if (tokens > kept) {
        share.granted_tokens += tokens - kept;
        share.grants_expire = now + token_grant_lifetime;
    }
}

double missing_tokens(const fleet_share& share)
{
    return std::max(0.0, 1 - share.tokens - share.granted_tokens);
}

} // namespace snipeshore::limits
