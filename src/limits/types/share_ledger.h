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
#include <string>
#include <unordered_map>
#include <vector>

namespace snipeshore::limits {

struct prepared_layout;

struct ledger_settings {
    std::chrono::milliseconds lease{2000};
    /// Added by the lender to the lease. Covers different speeds of two monotonic clocks.
    std::chrono::milliseconds lease_margin{200};
    std::chrono::milliseconds longest_wait{150}; ///< Of a request for a loan.
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
    double pending_tokens = 0;
    base::time_point pending_since;
    base::time_point ask_again; ///< Not asked before this time after it had nothing to lend.
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
    std::uint64_t layout_revision = 0; ///< For which `own` and `homes` were computed.
    share own;
    std::vector<std::uint32_t> homes; ///< Positions in the layout's hosts, own domain first.
    double tokens = 0;
    base::time_point refilled;
    double demand = 0; ///< Estimated requests per second, admitted or not.
    base::time_point demand_at;
    std::size_t waiting = 0;
    std::vector<lender_state> lenders;
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
    std::uint64_t revision = 0;
    base::time_point shares_since; ///< Last change of hosts: inactive buckets refill from here.
    std::uint64_t next_request = 1;
    std::uint64_t next_loan = 1;
    std::size_t granted_loans = 0;
    std::unordered_map<base::account_id, account_state> accounts;
    std::unordered_map<std::uint64_t, base::account_id> pending;      ///< Request to account.
    std::unordered_map<std::uint64_t, base::account_id> loan_account; ///< Granted loan to account.
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
};

/// Figures for metrics and the state dump.
struct ledger_figures {
    std::size_t accounts = 0;
    std::size_t loans_held = 0;
    std::size_t loans_granted = 0;
    std::size_t waiting = 0;
};

} // namespace snipeshore::limits
