#include "limits/internal/bucket.h"
#include "limits/share_ledger.h"

#include <algorithm>
#include <utility>

namespace snipeshore::limits {

namespace {

/// Overlapping loans of one borrower. More than two only occur when replies are lost.
constexpr std::size_t max_overlapping_loans = 4;

/// Multiple of the demand of its own callers that a home reserves as rate.
constexpr double own_demand_factor = 1.2;

/// A home reserves tokens for this time of its own demand, until it could borrow tokens itself.
constexpr double own_tokens_seconds = 0.1;

/// A home with callers reserves bucket capacity for this time of its reserved rate and for one
/// request; otherwise the reserved rate could not accumulate a token until the loan ends.
constexpr double own_capacity_seconds = 0.2;
constexpr double own_capacity_requests = 1;

/// Bucket capacity lent with a rate, as time of that rate. If a proportional share of the burst
/// were lent, lenders would lose the tokens that no longer fit into their bucket.
constexpr double loan_capacity_seconds = 0.5;

/// Smallest rate or number of tokens that is lent; smaller loans are not worth a message.
constexpr double min_loan = 1e-6;

borrower_state* find_borrower(account_state& state, const loan_request& request)
{
    const auto found = std::find_if(state.borrowers.begin(), state.borrowers.end(),
                                    [&](const borrower_state& borrower) {
                                        return borrower.borrower == request.borrower &&
                                               borrower.incarnation == request.borrower_incarnation;
                                    });
    return found == state.borrowers.end() ? nullptr : &*found;
}

/// Rate and burst that the home can lend to one borrower, including its current loans.
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
    const double used = std::max(reserved_rate_fraction * own.rate,
                                 std::min(own.rate, own_demand_factor * demand_at(state, now)));
    const bool has_callers = demand_at(state, now) > reserved_rate_fraction * own.rate;
    const double capacity =
        has_callers ? std::min(own.burst, own_capacity_requests + own_capacity_seconds * used) : 0;
    return {std::max(0.0, free.rate - used), std::max(0.0, free.burst - capacity)};
}

double lendable_tokens(const account_state& state, const share& own, base::time_point now)
{
    const double idle = std::min(reserved_tokens, reserved_tokens_fraction * own.burst);
    return std::max(0.0, state.tokens - std::max(idle, own_tokens_seconds * demand_at(state, now)));
}

/// Capacity that is lent with a rate. The rest stays with the lender, which has the tokens.
double capacity_for(double rate, const share& own)
{
    const double proportional = own.rate > 0 ? own.burst * rate / own.rate : 0;
    return std::min(proportional, rate * loan_capacity_seconds);
}

/// Tokens that no longer fit into the lender's bucket when `burst` more is lent. They are
/// transferred with the loan instead of being lost; they fit into the lent capacity.
double displaced_tokens(const account_state& state, double burst)
{
    return burst <= 0 ? 0 : std::clamp(state.tokens - (state.capacity - burst), 0.0, burst);
}

/// Removes loans that need no reservation because the new loan has at least their rate, burst and
/// end.
void remove_covered_loans(share_ledger& ledger, borrower_state& borrower, const granted_loan& by)
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
    const share own = usable_own_share(ledger, *state, now);
    borrower_state* borrower = find_borrower(*state, request);
    if (borrower != nullptr && borrower->loans.size() >= max_overlapping_loans) {
        return {};
    }
    const share free = lendable(*state, own, borrower, now);
    const double rate = std::clamp(request.rate, 0.0, free.rate);
    const double tokens =
        std::clamp(request.tokens, 0.0, std::min(free.burst, lendable_tokens(*state, own, now)));
    if (rate < min_loan && tokens < min_loan) {
        return {};
    }
    const double burst = std::min(free.burst, std::max(tokens, capacity_for(rate, own)));
    const double before = borrower == nullptr ? 0 : reserved_for(*borrower).burst;
    const double transferred = std::max(tokens, displaced_tokens(*state, burst - before));

    if (borrower == nullptr) {
        state->borrowers.push_back({request.borrower, request.borrower_incarnation, {}});
        borrower = &state->borrowers.back();
    }
    const granted_loan loan{ledger.next_loan++, rate, burst,
                            now + ledger.settings.lease + ledger.settings.lease_margin};
    remove_covered_loans(ledger, *borrower, loan);
    borrower->loans.push_back(loan);
    ledger.loan_account.emplace(loan.loan, request.account);
    state->tokens -= transferred;
    recompute(ledger, *state, now);
    return {loan.loan, rate, burst, transferred, ledger.settings.lease};
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
        // A borrower uses only the latest loan it received, so earlier loans are unused as well.
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
