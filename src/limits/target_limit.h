/// @file Division of a target's own request limit among the hosts. Each host keeps to its share, so
/// that no message is needed for a request.
#pragma once

#include "limits/types/target_limit.h"

#include <string_view>

namespace snipeshore::limits {

/// Parses the requests per second that a target names, a decimal number. No value if it is none, or
/// negative, or not finite.
std::optional<double> parse_target_limit(std::string_view text);

/// Divides a limit. Most of it goes to the hosts in the target's failure domain, which send it most
/// of its requests. An owner gets a request a second at least, so a small limit has few owners.
limit_division divide_target_limit(double rate, std::size_t near_hosts, std::size_t other_hosts);

/// Sets the limit and this host's share. The share begins without tokens.
void set_rate(target_limit& limit, double rate, base::time_point named_at);

void set_share(target_limit& limit, double own_rate, base::time_point now);

void end_limit(target_limit& limit);

/// Whether this host may send a request to the target now.
bool has_room(const target_limit& limit, base::time_point now);

/// Takes a token for a request that is sent. Has no effect without a limit.
void take_token(target_limit& limit, base::time_point now);

/// Time until `has_room`; no value if this host has no share.
std::optional<base::duration> time_to_room(const target_limit& limit, base::time_point now);

} // namespace snipeshore::limits
