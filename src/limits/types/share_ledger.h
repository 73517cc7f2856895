/// @file State of account shares on one host.
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
    /// Added by the lender to the lease. Covers different speeds of two monotonic clocks.
    std::chrono::milliseconds lease_margin{200};
    std::chrono::milliseconds max_wait{150};     ///< Of a request for a loan.
    std::chrono::milliseconds loan_timeout{250}; ///< A reply after this time is ignored.
    std::size_t max_accounts = 65536;            ///< Accounts with state.
    std::size_t max_waiting = 1024;              ///< Waiting requests of one account.
    std::size_t max_loans = 262144;              ///< Loans granted and not yet ended.
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

/// State of one account towards one lender.
struct lender_state {
    base::host_id lender;
    std::optional<held_loan> held;
    std::uint64_t pending_request = 0; ///< 0: none.
    double pending_rate = 0;           ///< Asked for above what is held.
    double pending_tokens = 0;
    base::time_point pending_since;
    base::time_point retry_at; ///< Not asked before this time after it had too little to lend.
    unsigned refusals = 0;     ///< In sequence; each one doubles the pause.
};

/// Loans of one account that one borrower may be using. It uses one of them, so the largest rate
/// and the largest burst are reserved.
struct borrower_state {
    base::host_id borrower;
    base::incarnation incarnation;
    std::vector<granted_loan> loans;
};

/// Token bucket and loans of one active account.
struct account_state {
    std::uint64_t layout_revision = 0; ///< For which the placement below was computed.
    std::uint64_t hosts_revision = 0;  ///< For which the homes were computed.
    bool configured = true;            ///< In the current layout.
    bool is_home = false;              ///< This host is a home under the current layout.
    share own;
    share per_home;                   ///< What each home of the current layout owns.
    std::vector<std::uint32_t> homes; ///< Other homes: positions in the layout, own domain first.
    double tokens = 0;
    double rate = 0;             ///< Refill rate now: own and held, without what is lent.
    double capacity = 0;         ///< Of the bucket now, in the same way.
    base::time_point next_event; ///< Next end of a loan; `rate` and `capacity` hold until then.
    base::time_point refilled;
    double demand = 0; ///< Estimated requests per second, admitted or not.
    base::time_point demand_at;
    std::size_t waiting = 0;
    std::vector<lender_state> lenders; ///< Empty, or in the order of `homes`, then former homes.
    std::vector<borrower_state> borrowers;
};

/// Shares of all active accounts on one host. Created by `make_ledger`.
struct share_ledger {
    ledger_settings settings;
    base::host_id host;
    base::incarnation incarnation;
    base::time_point usable_from; ///< Own shares count from here: loans of a predecessor ended.
    std::shared_ptr<const prepared_layout> current;
    std::vector<std::shared_ptr<const prepared_layout>> older; ///< Not confirmed by all hosts.
    bool history_unknown = true; ///< Older layouts may exist that this process never saw.
    std::optional<base::time_point> older_end; ///< When `older` stops to count.
    base::failure_domain_id own_domain;        ///< Under the current layout.
    std::uint64_t hosts_revision = 0;          ///< Of the current layout's hosts.
    std::uint64_t revision = 0;                ///< Of own shares and homes.
    base::time_point revised_at;
    base::time_point shares_since; ///< Last change of hosts: inactive buckets refill from here.
    /// The same for accounts whose limits changed.
    std::unordered_map<base::account_id, base::time_point> limits_since;
    std::uint64_t next_request = 1;
    std::uint64_t next_loan = 1;
    std::unordered_map<base::account_id, account_state> accounts;
    std::unordered_map<std::uint64_t, base::account_id> pending;      ///< Request to account.
    std::unordered_map<std::uint64_t, base::account_id> loan_account; ///< Granted loan to account.
    std::vector<loan_return> returns; ///< Not yet taken by `plan_returns`.
};

enum class admit_verdict : std::uint8_t {
    admitted,
    wait,            ///< Queue the request; ask again by `admit_waiting`.
    rate_exceeded,   ///< Refuse; `retry_after` says when a token is expected.
    account_unknown, ///< Not in the configuration.
    overloaded,      ///< The ledger is full of active accounts.
};

struct admission {
    admit_verdict verdict = admit_verdict::rate_exceeded;
    base::duration retry_after{0}; ///< With `rate_exceeded`.
    base::time_point wait_ends;    ///< With `wait`: refused at the latest then.
    base::time_point check_at;     ///< With `wait`: ask again then if no loan arrived before.
};

/// Figures for metrics and the state dump.
struct ledger_stats {
    std::size_t accounts = 0;
    std::size_t loans_held = 0;
    std::size_t loans_granted = 0;
    std::size_t waiting = 0;
};

} // namespace snipeshore::limits
