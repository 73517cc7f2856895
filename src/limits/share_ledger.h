/// @file Admission of requests under the rate and burst of their account, and share lending.
///
/// The rates of all ledgers add up to at most the account's rate, the bucket capacities to at most
/// its burst, at every instant. `docs/design.md` section 6 gives the argument.
///
/// Usage: call `install_layout` and `update_fleet` when documents or members change, and `admit`
/// for each request. After a `wait` verdict and after each `receive_loan` or `loan_failed`, send
/// the requests from `plan_loans` and call `admit_waiting` for the waiting requests in order. Call
/// `plan_all_loans` and `plan_returns` every 100 ms. Answer calls of other hosts with `lend` and
/// `on_loan_returned`.
#pragma once

#include "base/time.h"
#include "base/types/ids.h"
#include "limits/types/share_ledger.h"

#include <cstdint>
#include <vector>

namespace snipeshore::limits {

/// Ledger of a process that starts now. Its own shares start empty and are unusable until the
/// longest loan of the previous process has ended.
share_ledger make_ledger(const ledger_settings& settings, const base::host_id& host,
                         base::incarnation incarnation, base::time_point now);

/// Puts a newer version in force; a version that is not newer is ignored. Until `update_fleet`
/// reports that all hosts of the older layouts have confirmed this version, the ledger uses the
/// minimum of its shares under all these layouts.
void install_layout(share_ledger& ledger, const layout& next, base::time_point now);

/// Updates the known versions of the other hosts and the platform's host list.
void update_fleet(share_ledger& ledger, const fleet_view& view, base::time_point now);

/// Decides whether a new request is admitted.
admission admit(share_ledger& ledger, const base::account_id& account, base::time_point now);

/// Decides again about a request with the verdict `wait`; `wait_ends` is the value returned with
/// that verdict. Any verdict other than `wait` removes the request from the count of waiting
/// requests.
admission admit_waiting(share_ledger& ledger, const base::account_id& account,
                        base::time_point wait_ends, base::time_point now);

/// To be called when the caller abandoned a waiting request.
void stop_waiting(share_ledger& ledger, const base::account_id& account);

/// Loans to request now for one account. Each request is sent at `now` and must be followed by
/// `receive_loan` or `loan_failed` with its request number; late and repeated calls are ignored.
std::vector<loan_request> plan_loans(share_ledger& ledger, const base::account_id& account,
                                     base::time_point now);

/// As `plan_loans`, which also renews loans, for all accounts; drops the state of idle accounts.
std::vector<loan_request> plan_all_loans(share_ledger& ledger, base::time_point now);

/// Removes the loans that this host no longer needs from the ledger and returns them.
std::vector<loan_return> plan_returns(share_ledger& ledger, base::time_point now);

/// Removes and returns all loans, for a planned stop.
std::vector<loan_return> return_all_loans(share_ledger& ledger, base::time_point now);

/// Applies the reply to the request with this number.
void receive_loan(share_ledger& ledger, std::uint64_t request, const loan_grant& grant,
                  base::time_point now);

/// To be called when a request got no reply or an error.
void loan_failed(share_ledger& ledger, std::uint64_t request, base::time_point now);

/// Decides about another host's request. The lent rate, capacity and tokens are removed from this
/// host's bucket before this returns.
loan_grant lend(share_ledger& ledger, const loan_request& request, base::time_point now);

/// To be called when a borrower stopped using a loan. An unknown loan is ignored.
void on_loan_returned(share_ledger& ledger, std::uint64_t loan, base::time_point now);

/// Version of the layout in force; the host reports it to the fleet only after `install_layout`.
base::document_version version_in_force(const share_ledger& ledger);

/// True once the own shares are no longer restricted by an older layout or a recent start.
bool uses_full_share(const share_ledger& ledger, base::time_point now);

ledger_stats stats_of(const share_ledger& ledger);

} // namespace snipeshore::limits
