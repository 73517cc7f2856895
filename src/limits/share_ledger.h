/// @file Admission of requests under the rate and burst of their account, and share lending.
///
/// The rates of all ledgers add up to at most the account's rate, the bucket capacities to at most
/// its burst, at every instant. `docs/design.md` section 6 gives the argument.
///
/// Use by a program: call `install_layout` and `update_fleet` when documents or members change;
/// `admit` per request; after a `wait` verdict and after each `receive_loan` or `loan_failed`, send
/// what `plan_loans` returns and ask again for the waiting requests in their order; call
/// `plan_all_loans` and `plan_returns` each 100 ms; answer the calls of other hosts by `lend` and
/// `on_loan_returned`.
#pragma once

#include "base/time.h"
#include "base/types/ids.h"
#include "limits/types/share_ledger.h"

#include <cstdint>
#include <vector>

namespace snipeshore::limits {

/// Ledger of a process that starts now. Its own shares are unused until the longest loan of a
/// predecessor has ended, and start empty.
share_ledger make_ledger(const ledger_settings& settings, const base::host_id& host,
                         base::incarnation incarnation, base::time_point now);

/// Puts a newer version in force; a version that is not newer is ignored. Until `update_fleet`
/// has shown that all hosts of the older layouts confirmed this version, the ledger uses the
/// minimum of its parts under all of them.
void install_layout(share_ledger& ledger, const layout& next, base::time_point now);

/// Takes what is known about the other hosts' versions and the platform's host list.
void update_fleet(share_ledger& ledger, const fleet_view& view, base::time_point now);

/// Decides about a new request.
admission admit(share_ledger& ledger, const base::account_id& account, base::time_point now);

/// Decides again about a request that got `wait`; `wait_ends` is the value from then. Any verdict
/// but `wait` removes the request from the count of waiting ones.
admission admit_waiting(share_ledger& ledger, const base::account_id& account,
                        base::time_point wait_ends, base::time_point now);

/// A waiting request was abandoned by its caller.
void stop_waiting(share_ledger& ledger, const base::account_id& account);

/// Loans to ask for now, for one account. Each one is sent at `now` and must be followed by
/// `receive_loan` or `loan_failed` with its request number; late and doubled calls are ignored.
std::vector<loan_request> plan_loans(share_ledger& ledger, const base::account_id& account,
                                     base::time_point now);

/// The same for all accounts; also renews loans, and drops the state of idle accounts.
std::vector<loan_request> plan_all_loans(share_ledger& ledger, base::time_point now);

/// Loans this host no longer needs. They have left the ledger when this returns.
std::vector<loan_return> plan_returns(share_ledger& ledger, base::time_point now);

/// All loans, for a planned stop.
std::vector<loan_return> return_all_loans(share_ledger& ledger, base::time_point now);

/// Takes the reply to the request with this number.
void receive_loan(share_ledger& ledger, std::uint64_t request, const loan_grant& grant,
                  base::time_point now);

/// No reply came, or an error.
void loan_failed(share_ledger& ledger, std::uint64_t request, base::time_point now);

/// Decides about another host's request. Rate, capacity and tokens have left this host's bucket
/// when this returns.
loan_grant lend(share_ledger& ledger, const loan_request& request, base::time_point now);

/// Another host stopped using a loan. An unknown loan is ignored.
void on_loan_returned(share_ledger& ledger, std::uint64_t loan, base::time_point now);

/// Version of the layout in force; the host reports it to the fleet only after `install_layout`.
base::document_version version_in_force(const share_ledger& ledger);

/// True once own shares are in use without a restriction by an older layout or a start.
bool uses_full_share(const share_ledger& ledger, base::time_point now);

ledger_stats stats_of(const share_ledger& ledger);

} // namespace snipeshore::limits
