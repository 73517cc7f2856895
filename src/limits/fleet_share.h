/// @file A host's part of an account's rate and burst, without agreement on the request path.
#pragma once

#include "base/time.h"
#include "limits/types/fleet_share.h"

#include <cstddef>

namespace snipeshore::limits {

/// The limit that the hosts divide among them. It uses most of the allowed overrun, since a limit
/// in many parts wrongly refuses some requests; the rest is for what is in flight when a limit or
/// the number of hosts changes.
fleet_limit with_overrun(const fleet_limit& limit, const allowed_overrun& overrun);

/// Number of hosts that hold parts of the limit: all, or as many as get a whole token each. The
/// others ask those for every request.
std::size_t share_owner_count(const fleet_limit& limit, std::size_t hosts);

/// Sets the account's limit and the number of hosts that hold parts of it; 0: this host holds none.
/// A share that is new starts without tokens: the host's last incarnation may have used them.
void set_limit(fleet_share& share, const fleet_limit& limit, std::size_t holders,
               base::time_point now);

/// The share refills from `since` on, as this incarnation has admitted nothing since then.
void refill_from(fleet_share& share, base::time_point since);

/// Takes the tokens of one request. False: the host has no part left; see `time_to_token`.
bool try_acquire(fleet_share& share, base::time_point now);

/// The same for a request that waited for gifts and was counted already.
bool retry_acquire(fleet_share& share, base::time_point now);

base::duration time_to_token(const fleet_share& share, base::time_point now);

/// Tokens that the host will probably lack until `until`; 0 if it has enough.
double wanted_tokens(fleet_share& share, base::time_point now, base::time_point until);

/// Takes up to `wanted` tokens out of the share for another host, keeping what the own requests
/// will probably need until `until`. A gift that is lost on its way is lost for all, never doubled.
double grant_tokens(fleet_share& share, double wanted, base::time_point now,
                    base::time_point until);

/// Takes a gift. What exceeds the own part of the burst may be used for `token_grant_lifetime`
/// only.
void receive_grant(fleet_share& share, double tokens, base::time_point now);

/// Tokens that the next request lacks, as of the last call of another function.
double missing_tokens(const fleet_share& share);

} // namespace snipeshore::limits
