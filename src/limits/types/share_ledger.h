/// @file State of the account shares and loans of one host.
#pragma once

#include "base/time.h"
#include "base/types/ids.h"
#include "limits/types/layout.h"
#include "limits/types/loan.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace snipeshore::limits {

struct prepared_layout;

struct ledger_settings {
    std::chrono::milliseconds lease{2000};
    /// The lender adds this to the lease, since monotonic clocks of two hosts may run at different
    /// speeds.
    std::chrono::milliseconds lease_margin{200};
    std::chrono::milliseconds max_wait{150};     ///< Longest time a request waits for a loan.
    std::chrono::milliseconds loan_timeout{250}; ///< Replies that arrive later are ignored.
    std::size_t max_accounts = 65536;            ///< Accounts that may have state at once.
    std::size_t max_waiting = 1024;              ///< Waiting requests per account.
    std::size_t max_loans = 262144;              ///< Granted loans that have not ended.
};

/// Loan that this host holds. At most one per lender and account.
struct held_loan {
    std::uint64_t loan = 0;
    double rate = 0;
    double burst = 0;
    base::time_point ends;
};

/// Loan that this host granted.
struct granted_loan {
    std::uint64_t loan = 0;
    double rate = 0;
    double burst = 0;
    base::time_point ends;
};

/// Loan of one account from one lender, and the pending request for it.
struct lender_state {
    base::host_id lender;
    std::optional<held_loan> held;
    std::uint64_t pending_request = 0; ///< 0 if no request is pending.
    double pending_rate = 0;           ///< Requested in addition to the held rate.
    double pending_tokens = 0;
    base::time_point pending_since;
    base::time_point retry_at; ///< Backoff after the lender had too little to lend.
    unsigned refusals = 0;     ///< Consecutive refusals; each one doubles the backoff.
};

/// Loans of one account that one borrower may be using. The borrower uses only one of them, so the
/// lender reserves the largest rate and the largest burst.
struct borrower_state {
    base::host_id borrower;
    base::incarnation incarnation;
    std::vector<granted_loan> loans;
};

/// Token bucket and loans of one active account.
struct account_state {
    std::uint64_t layout_revision = 0; ///< Revision for which the shares below were computed.
    std::uint64_t hosts_revision = 0;  ///< Revision for which the homes were computed.
    bool configured = true;            ///< The current layout contains the account.
    bool is_home = false;              ///< This host is a home under the current layout.
    share own;
    share per_home; ///< Share of each home under the current layout.
    std::vector<std::uint32_t>
        homes; ///< Positions of the other homes in the layout, own failure domain first.
    double tokens = 0;
    double rate = 0;     ///< Current refill rate: own share plus held loans minus granted loans.
    double capacity = 0; ///< Current capacity of the bucket, computed in the same way.
    base::time_point
        next_event; ///< Next end of a loan; `rate` and `capacity` are valid until then.
    base::time_point refilled;
    double demand = 0; ///< Estimated requests per second, admitted or not.
    base::time_point demand_at;
    std::size_t waiting = 0;
    std::vector<lender_state>
        lenders; ///< Empty, or in the order of `homes` followed by former homes.
    std::vector<borrower_state> borrowers;
};

/// Shares of all active accounts on one host. Created by `make_ledger`.
struct share_ledger {
    ledger_settings settings;
    base::host_id host;
    base::incarnation incarnation;
    base::time_point usable_from; ///< Own shares are usable from here on, when all loans of the
                                  ///< previous process have ended.
    std::shared_ptr<const prepared_layout> current;
    std::vector<std::shared_ptr<const prepared_layout>>
        older;                   ///< Layouts that some host may still use.
    bool history_unknown = true; ///< Older layouts may exist that this process does not know.
    std::optional<base::time_point> older_end; ///< Time from which `older` is ignored.
    base::failure_domain_id own_domain; ///< Failure domain of this host in the current layout.
    std::uint64_t hosts_revision = 0;   ///< Changes with the hosts of the layout.
    std::uint64_t revision = 0;         ///< Changes with own shares and homes.
    base::time_point revised_at;
    base::time_point
        shares_since; ///< Last change of the hosts; buckets without state refill from here on.
    /// As `shares_since`, for accounts whose limits changed.
    std::unordered_map<base::account_id, base::time_point> limits_since;
    std::uint64_t next_request = 1;
    std::uint64_t next_loan = 1;
    std::unordered_map<base::account_id, account_state> accounts;
    std::unordered_map<std::uint64_t, base::account_id>
        pending; ///< Account of each pending request.
    std::unordered_map<std::uint64_t, base::account_id>
        loan_account;                 ///< Account of each granted loan.
    std::vector<loan_return> returns; ///< Queued until the next `plan_returns`.
};

enum class admit_verdict : std::uint8_t {
    admitted,
    wait,            ///< Queue the request and call `admit_waiting` later.
    rate_exceeded,   ///< Refuse the request; `retry_after` is the time until a token is expected.
    account_unknown, ///< The configuration does not contain the account.
    overloaded,      ///< The ledger already has `max_accounts` active accounts.
};

struct admission {
    admit_verdict verdict = admit_verdict::rate_exceeded;
    base::duration retry_after{0}; ///< Set with `rate_exceeded`.
    base::time_point
        wait_ends; ///< Set with `wait`: the request is refused at this time at the latest.
    base::time_point
        check_at; ///< Set with `wait`: time of the next `admit_waiting` if no loan arrives before.
};

/// Counters for metrics and the state dump.
struct ledger_stats {
    std::size_t accounts = 0;
    std::size_t loans_held = 0;
    std::size_t loans_granted = 0;
    std::size_t waiting = 0;
};

} // namespace snipeshore::limits
