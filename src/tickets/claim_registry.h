/// @file Claims on tickets. Only the owner of a ticket grants a claim, and only to one attempt.
///
/// An attempt that repeats its call is granted the claim again, since the first reply may have been
/// lost. The claimer uses a new attempt for each try, runs each attempt at most once, and never
/// runs an attempt after sending a release for it.
#pragma once

#include "base/result.h"
#include "base/time.h"
#include "tickets/types/claim_registry.h"

#include <cstdint>

namespace snipeshore::tickets {

claim_registry make_claim_registry(const claim_registry_settings& settings,
                                   const base::host_id& owner, base::incarnation incarnation,
                                   base::time_point now);

/// Epoch for new tickets of this owner. Advances the epoch if it has ended.
std::uint64_t current_epoch(claim_registry& claims, base::time_point now);

/// Claims a verified ticket for the account whose key came with the request. If the registry is
/// full, returns the error `overloaded`, and the request was not run.
base::result<claim_result> claim(claim_registry& claims, const ticket& which,
                                 const base::account_id& account, const attempt& by,
                                 base::time_point now);

/// Stores the response. Returns false if the attempt does not hold the claim.
bool complete(claim_registry& claims, const ticket& which, const attempt& by,
              cached_response response, base::time_point now);

/// Releases a claim because no byte was sent to any target. Returns false if the attempt does not
/// hold the claim.
bool release(claim_registry& claims, const ticket& which, const attempt& by, base::time_point now);

} // namespace snipeshore::tickets
