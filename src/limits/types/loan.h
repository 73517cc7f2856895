/// @file Messages of share lending as plain structs.
#pragma once

#include "base/time.h"
#include "base/types/ids.h"

#include <chrono>
#include <cstdint>

namespace snipeshore::limits {

/// Request of a borrower. `rate` is the total it wants to hold from this lender, which includes
/// what it holds already; `tokens` is in addition to what it holds.
struct loan_request {
    std::uint64_t request = 0; ///< Local to the borrower, matches the reply; not sent.
    base::host_id lender;
    base::account_id account;
    double rate = 0;
    double tokens = 0;
    base::host_id borrower;
    base::incarnation borrower_incarnation;
};

/// Reply of a lender. Replaces all earlier loans of the same account between the two processes.
struct loan_grant {
    std::uint64_t loan = 0; ///< 0: nothing was lent.
    double rate = 0;        ///< Total lent to this borrower.
    double burst = 0;       ///< Total bucket capacity lent to this borrower, at least `tokens`.
    double tokens = 0;      ///< Handed over by this reply.
    std::chrono::milliseconds lease{0}; ///< Counted from when the borrower sent the request.
};

/// A loan that the borrower no longer uses and tells the lender about.
struct loan_return {
    base::host_id lender;
    std::uint64_t loan = 0;
};

} // namespace snipeshore::limits
