/// @file Messages for lending shares between hosts.
#pragma once

#include "base/time.h"
#include "base/types/ids.h"

#include <chrono>
#include <cstdint>

namespace snipeshore::limits {

/// Request of a borrower. `rate` is the total rate to hold from this lender, including the rate of
/// the current loan; `tokens` are additional to the tokens the borrower already has.
struct loan_request {
    std::uint64_t request =
        0; ///< Matches the reply to the request; local to the borrower, not sent.
    base::host_id lender;
    base::account_id account;
    double rate = 0;
    double tokens = 0;
    base::host_id borrower;
    base::incarnation borrower_incarnation;
};

/// Reply of a lender. Replaces all earlier loans of the same account between the two processes.
struct loan_grant {
    std::uint64_t loan = 0; ///< 0 if nothing was lent.
    double rate = 0;        ///< Total lent to this borrower.
    double burst = 0;       ///< Total bucket capacity lent to this borrower, at least `tokens`.
    double tokens = 0;      ///< Tokens transferred with this reply.
    std::chrono::milliseconds lease{0}; ///< Starts when the borrower sent the request.
};

/// Notifies the lender that the borrower no longer uses a loan.
struct loan_return {
    base::host_id lender;
    std::uint64_t loan = 0;
};

} // namespace snipeshore::limits
