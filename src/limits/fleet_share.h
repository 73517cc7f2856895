/// @file A host's share of an account's rate and burst. Requests are admitted locally, without a
/// call to another host.
#pragma once

#include "base/time.h"
#include "limits/types/fleet_share.h"

#include <cstddef>

namespace snipeshore::limits {

/// The limit that is divided among the hosts. It uses most of the allowed overrun, since a limit in
/// many shares wrongly refuses some requests; the rest covers requests in flight while a limit or
/// the number of hosts changes.
fleet_limit with_overrun(const fleet_limit& limit, const allowed_overrun& overrun);

/// Number of hosts that own a share of the limit: all hosts, or as many as get a whole token each.
/// The other hosts ask the share owners for tokens for every request.
std::size_t share_owner_count(const fleet_limit& limit, std::size_t hosts);

/// Sets the account's limit and the number of share owners; 0 means that this host owns no share.
/// A new share starts without tokens, since the host's previous incarnation may have used them.
void set_limit(fleet_share& share, const fleet_limit& limit, std::size_t owners,
               base::time_point now);

/// Empties the share and refills it from `since` on: this incarnation has admitted nothing since
/// then.
void refill_from(fleet_share& share, base::time_point since);

/// Takes one token for a request. Returns false if the share has no token left; see
/// `time_to_token`.
bool try_acquire(fleet_share& share, base::time_point now);

/// As `try_acquire`, for a request that waited for a token grant and is already counted in the
/// demand.
bool retry_acquire(fleet_share& share, base::time_point now);

/// Returns the token of a request that was refused before it was sent to any target.
void return_token(fleet_share& share, base::time_point now);

base::duration time_to_token(const fleet_share& share, base::time_point now);

/// Tokens that the host is expected to lack until `until`; 0 if it has enough.
double wanted_tokens(fleet_share& share, base::time_point now, base::time_point until);

/// Removes up to `wanted` tokens from the share for another host, keeping the tokens that requests
/// of this host are expected to need until `until`. Tokens of a lost message are not restored, so
/// they can never be used twice.
double grant_tokens(fleet_share& share, double wanted, base::time_point now,
                    base::time_point until);

/// Adds granted tokens. Tokens above the own share of the burst expire after
/// `token_grant_lifetime`.
void receive_grant(fleet_share& share, double tokens, base::time_point now);

/// Tokens that the next request lacks, as of the last update of the share by another function.
double missing_tokens(const fleet_share& share);

} // namespace snipeshore::limits
