/// @file Claims on tickets. Only the owner of a ticket grants a claim, to one attempt.
///
/// An attempt is granted again when it repeats its call, since its reply may have been lost. The
/// claimer runs an attempt once, uses a new attempt for each try, and never runs an attempt after
/// it sent a release for it.
#pragma once

#include "base/result.h"
#include "base/time.h"
#include "tickets/types/claim_registry.h"

#include <cstdint>

namespace snipeshore::tickets {

claim_registry make_claim_registry(const claim_registry_settings& settings,
                                   const base::host_id& owner, base::incarnation incarnation,
                                   base::time_point now);

/// Epoch for new tickets of this owner. Starts new epochs that are due.
std::uint64_t current_epoch(claim_registry& claims, base::time_point now);

/// Claims a verified ticket for the account whose key came with the request. A full register gives
/// the error `overloaded`; the request was not run then.
base::result<claim_result> claim(claim_registry& claims, const ticket& which,
                                 const base::account_id& account, const attempt& by,
                                 base::time_point now);

/// Stores the outcome. False if the attempt does not hold the claim.
bool complete(claim_registry& claims, const ticket& which, const attempt& by,
              cached_response response, base::time_point now);

/// Gives a claim back because no byte was sent to any target. False if the attempt does not hold
/// the claim.
bool release(claim_registry& claims, const ticket& which, const attempt& by, base::time_point now);

} // namespace snipeshore::tickets
