/// @file Token bucket of an active account, with the loans that change its rate and capacity.
#pragma once

#include "base/time.h"
#include "limits/types/share_ledger.h"

namespace snipeshore::limits {

/// Part of the rate of an idle home that it keeps for its own requests.
inline constexpr double kept_rate_fraction = 0.1;

/// Tokens an idle home keeps for its own next request, and their largest part of its capacity.
inline constexpr double kept_tokens = 1;
inline constexpr double kept_tokens_fraction = 0.1;

double seconds_of(base::duration time);

base::duration duration_of(double seconds);

/// Puts the state of lenders into the order of the homes; adds what is missing.
void arrange_lenders(const share_ledger& ledger, account_state& state);

/// Ends the change of the layout when that is due.
void refresh_layout(share_ledger& ledger, base::time_point now);

/// State of the account, up to date at `now`; created if needed. Null if the account is not in the
/// configuration or the ledger is full.
account_state* state_of(share_ledger& ledger, const base::account_id& account,
                        base::time_point now);

/// Refills the bucket until `now` and applies the ends of loans in their order of time.
void advance(share_ledger& ledger, account_state& state, base::time_point now);

/// Computes rate, capacity and next event after a change of loans, and drops tokens above the
/// capacity.
void recompute(const share_ledger& ledger, account_state& state, base::time_point at);

/// Own part that counts at `at`.
share own_part(const share_ledger& ledger, const account_state& state, base::time_point at);

/// Rate and capacity reserved for the loans of one borrower.
share reserved_for(const borrower_state& borrower);

/// Estimated requests per second at `now`.
double demand_at(const account_state& state, base::time_point now);

void record_demand(account_state& state, base::time_point now);

/// True if forgetting the state cannot add tokens.
bool is_droppable(const share_ledger& ledger, const account_state& state, base::time_point now);

} // namespace snipeshore::limits
