#include "limits/internal/bucket.h"
#include "limits/share_ledger.h"

#include <algorithm>
#include <utility>

namespace snipeshore::limits {

namespace {

/// Loans of one borrower that may overlap. More than two only occur when replies are lost.
constexpr std::size_t max_overlapping_loans = 4;

/// A home keeps this multiple of the rate that its own callers use.
constexpr double own_demand_factor = 1.2;

/// A home keeps tokens for its own callers for this time, until it could borrow itself.
constexpr double own_tokens_seconds = 0.1;

/// A home that has callers keeps bucket capacity for this time of its kept rate, and for one
/// request; without it the kept rate could not collect a token until the loan ends.
constexpr double own_capacity_seconds = 0.2;
constexpr double own_capacity_requests = 1;

/// Bucket capacity lent with a rate, as time of that rate. With a proportional part of the burst,
/// lenders lost the tokens that no longer fitted.
constexpr double loan_capacity_seconds = 0.5;

/// Smaller loans are not worth a message.
constexpr double smallest_loan = 1e-6;

borrower_state* find_borrower(account_state& state, const loan_request& request)
{
    const auto found = std::find_if(state.borrowers.begin(), state.borrowers.end(),
                                    [&](const borrower_state& borrower) {
                                        return borrower.borrower == request.borrower &&
                                               borrower.incarnation == request.borrower_incarnation;
                                    });
    return found == state.borrowers.end() ? nullptr : &*found;
}

/// What the home could lend to one borrower, what it holds already included.
share lendable(const account_state& state, const share& own, const borrower_state* borrower,
               base::time_point now)
{
    share free = own;
    for (const borrower_state& other : state.borrowers) {
        if (&other != borrower) {
            const share reserved = reserved_for(other);
            free.rate -= reserved.rate;
            free.burst -= reserved.burst;
        }
    }
    const double used = std::max(kept_rate_fraction * own.rate,
                                 std::min(own.rate, own_demand_factor * demand_at(state, now)));
    const bool has_callers = demand_at(state, now) > kept_rate_fraction * own.rate;
    const double capacity =
        has_callers ? std::min(own.burst, own_capacity_requests + own_capacity_seconds * used) : 0;
    return {std::max(0.0, free.rate - used), std::max(0.0, free.burst - capacity)};
}

double lendable_tokens(const account_state& state, const share& own, base::time_point now)
{
    const double idle = std::min(kept_tokens, kept_tokens_fraction * own.burst);
    return std::max(0.0, state.tokens - std::max(idle, own_tokens_seconds * demand_at(state, now)));
}

/// Capacity that goes with a rate. The rest stays with the lender, where its tokens are.
double capacity_for(double rate, const share& own)
{
    const double proportional = own.rate > 0 ? own.burst * rate / own.rate : 0;
    return std::min(proportional, rate * loan_capacity_seconds);
}

/// Tokens that no longer fit into the lender's bucket when `burst` more is lent. They go with the
/// loan instead of being lost; the lent capacity has room for them.
double displaced_tokens(const account_state& state, double burst)
{
    return burst <= 0 ? 0 : std::clamp(state.tokens - (state.capacity - burst), 0.0, burst);
}

/// Loans that the new one covers in every respect need no reservation of their own.
void forget_covered(share_ledger& ledger, borrower_state& borrower, const granted_loan& by)
{
    std::erase_if(borrower.loans, [&](const granted_loan& loan) {
        const bool covered = loan.rate <= by.rate && loan.burst <= by.burst && loan.ends <= by.ends;
        if (covered) {
            ledger.loan_account.erase(loan.loan);
        }
        return covered;
    });
}

} // namespace

loan_grant lend(share_ledger& ledger, const loan_request& request, base::time_point now)
{
    refresh_layout(ledger, now);
    account_state* state = state_of(ledger, request.account, now);
    if (state == nullptr || state->waiting > 0 || request.borrower == ledger.host ||
        ledger.loan_account.size() >= ledger.settings.max_loans) {
        return {};
    }
    const share own = own_part(ledger, *state, now);
    borrower_state* borrower = find_borrower(*state, request);
    if (borrower != nullptr && borrower->loans.size() >= max_overlapping_loans) {
        return {};
    }
    const share free = lendable(*state, own, borrower, now);
    const double rate = std::clamp(request.rate, 0.0, free.rate);
    const double tokens =
        std::clamp(request.tokens, 0.0, std::min(free.burst, lendable_tokens(*state, own, now)));
    if (rate < smallest_loan && tokens < smallest_loan) {
        return {};
    }
    const double burst = std::min(free.burst, std::max(tokens, capacity_for(rate, own)));
    const double before = borrower == nullptr ? 0 : reserved_for(*borrower).burst;
    const double handed_over = std::max(tokens, displaced_tokens(*state, burst - before));

    if (borrower == nullptr) {
        state->borrowers.push_back({request.borrower, request.borrower_incarnation, {}});
        borrower = &state->borrowers.back();
    }
    const granted_loan loan{ledger.next_loan++, rate, burst,
                            now + ledger.settings.lease + ledger.settings.lease_margin};
    forget_covered(ledger, *borrower, loan);
    borrower->loans.push_back(loan);
    ledger.loan_account.emplace(loan.loan, request.account);
    state->tokens -= handed_over;
    recompute(ledger, *state, now);
    return {loan.loan, rate, burst, handed_over, ledger.settings.lease};
}

void on_loan_returned(share_ledger& ledger, std::uint64_t loan, base::time_point now)
{
    const auto account = ledger.loan_account.find(loan);
    if (account == ledger.loan_account.end()) {
        return;
    }
    const base::account_id id = account->second;
    account_state* state = state_of(ledger, id, now);
    if (state == nullptr) {
        return;
    }
    for (borrower_state& borrower : state->borrowers) {
        const bool holds = std::any_of(borrower.loans.begin(), borrower.loans.end(),
                                       [&](const granted_loan& item) { return item.loan == loan; });
        if (!holds) {
            continue;
        }
        // A borrower uses the latest loan it received, so it no longer uses earlier ones either.
        std::erase_if(borrower.loans, [&](const granted_loan& item) {
            const bool returned = item.loan <= loan;
            if (returned) {
                ledger.loan_account.erase(item.loan);
            }
            return returned;
        });
    }
    std::erase_if(state->borrowers,
                  [](const borrower_state& borrower) { return borrower.loans.empty(); });
    recompute(ledger, *state, now);
}

} // namespace snipeshore::limits
