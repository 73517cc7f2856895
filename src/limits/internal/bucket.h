/// @file Token bucket of an active account, with the loans that change its rate and capacity.
#pragma once

#include "base/time.h"
#include "limits/types/share_ledger.h"

namespace snipeshore::limits {

/// Fraction of its rate that an idle home reserves for its own requests.
inline constexpr double reserved_rate_fraction = 0.1;

/// Tokens that an idle home reserves for its own next request, and their largest fraction of its
/// burst.
inline constexpr double reserved_tokens = 1;
inline constexpr double reserved_tokens_fraction = 0.1;

double seconds_of(base::duration time);

base::duration duration_of(double seconds);

/// Sorts the lenders into the order of the homes and adds missing ones.
void arrange_lenders(const share_ledger& ledger, account_state& state);

/// Drops the older layouts once they are no longer in use.
void refresh_layout(share_ledger& ledger, base::time_point now);

/// State of the account, updated to `now` and created if needed. Null if there is no layout yet, or
/// if the account has no state and is not in the configuration or the ledger is full.
account_state* state_of(share_ledger& ledger, const base::account_id& account,
                        base::time_point now);

/// Refills the bucket until `now` and removes loans in the order in which they end.
void advance(share_ledger& ledger, account_state& state, base::time_point now);

/// Computes rate, capacity and next event after a change of loans, and drops tokens above the
/// capacity.
void recompute(const share_ledger& ledger, account_state& state, base::time_point at);

/// Own share that is usable at `at`; empty while loans of the previous process may be in use.
share usable_own_share(const share_ledger& ledger, const account_state& state, base::time_point at);

/// Rate and capacity reserved for the loans of one borrower.
share reserved_for(const borrower_state& borrower);

/// Estimated requests per second at `now`.
double demand_at(const account_state& state, base::time_point now);

void record_demand(account_state& state, base::time_point now);

/// True if the state can be dropped without adding tokens when it is created again.
bool can_evict(const share_ledger& ledger, const account_state& state, base::time_point now);

} // namespace snipeshore::limits
