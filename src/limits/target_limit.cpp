#include "limits/target_limit.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cmath>

namespace snipeshore::limits {

namespace {

/// A target that takes fewer requests is still tried so often, because only its responses tell that
/// its limit has ended.
constexpr double min_rate = 0.2;

/// Fraction for hosts outside the target's failure domain, whose own targets may be too few.
constexpr double other_fraction = 0.2;

/// Tokens accumulate for this time, since requests do not come evenly; one token at least. All
/// owners' tokens together stay below a second of the limit.
constexpr double burst_s = 0.4;

double burst_of(const target_limit& limit)
{
    return std::max(1.0, limit.own_rate * burst_s);
}

double tokens_at(const target_limit& limit, base::time_point now)
{
    const double passed_s =
        std::max(0.0, std::chrono::duration<double>(now - limit.refilled).count());
    return std::min(burst_of(limit), limit.tokens + limit.own_rate * passed_s);
}

std::size_t owner_count(double rate, std::size_t hosts)
{
    const double whole = std::max(1.0, std::floor(rate));
    return static_cast<std::size_t>(std::min(static_cast<double>(hosts), whole));
}

} // namespace

std::optional<double> parse_target_limit(std::string_view text)
{
    double rate = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data(), end, rate);
    const bool is_valid =
        failure == std::errc() && stop == end && std::isfinite(rate) && !std::signbit(rate);
    return is_valid ? std::optional(rate) : std::nullopt;
}

limit_division divide_target_limit(double rate, std::size_t near_hosts, std::size_t other_hosts)
{
    limit_division division;
    const double divided = std::max(rate, min_rate);
    double other_rate = other_hosts == 0 ? 0 : divided * other_fraction;
    if (near_hosts == 0) {
        other_rate = divided;
    } else if (other_rate < 1) {
        other_rate = 0;
    }
    if (near_hosts > 0) {
        division.near_owners = owner_count(divided - other_rate, near_hosts);
        division.near_rate = (divided - other_rate) / static_cast<double>(division.near_owners);
    }
    if (other_rate > 0 && other_hosts > 0) {
        division.other_owners = owner_count(other_rate, other_hosts);
        division.other_rate = other_rate / static_cast<double>(division.other_owners);
    }
    return division;
}

void set_rate(target_limit& limit, double rate, base::time_point named_at)
{
    limit.rate = rate;
    limit.named_at = named_at;
}

void set_share(target_limit& limit, double own_rate, base::time_point now)
{
    limit.tokens = tokens_at(limit, now);
    limit.refilled = std::max(limit.refilled, now);
    limit.own_rate = own_rate;
    limit.tokens = own_rate > 0 ? std::min(limit.tokens, burst_of(limit)) : 0;
}

void end_limit(target_limit& limit)
{
    limit = {};
}

bool has_room(const target_limit& limit, base::time_point now)
{
    return !limit.rate.has_value() || (limit.own_rate > 0 && tokens_at(limit, now) >= 1);
}

void take_token(target_limit& limit, base::time_point now)
{
    if (!limit.rate.has_value()) {
        return;
    }
    limit.tokens = tokens_at(limit, now) - 1;
    limit.refilled = std::max(limit.refilled, now);
}

std::optional<base::duration> time_to_room(const target_limit& limit, base::time_point now)
{
    if (has_room(limit, now)) {
        return base::duration{0};
    }
    if (limit.own_rate <= 0) {
        return std::nullopt;
    }
    const std::chrono::duration<double> time((1 - tokens_at(limit, now)) / limit.own_rate);
    return std::chrono::duration_cast<base::duration>(time);
}

} // namespace snipeshore::limits
