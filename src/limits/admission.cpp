#include "limits/internal/bucket.h"
#include "limits/internal/prepared_layout.h"
#include "limits/share_ledger.h"

#include <algorithm>

namespace snipeshore::limits {

namespace {

constexpr base::duration min_retry_after = std::chrono::milliseconds(10);
constexpr base::duration max_retry_after = std::chrono::seconds(60);

/// Time until the bucket has tokens for all waiting requests and one more request.
base::duration time_until_token(const account_state& state, double rate)
{
    const double missing = 1 + static_cast<double>(state.waiting) - state.tokens;
    if (rate <= 0) {
        return max_retry_after;
    }
    return std::clamp(duration_of(missing / rate), min_retry_after, max_retry_after);
}

base::duration retry_after(const account_state& state)
{
    const auto homes = static_cast<double>(state.homes.size() + 1);
    return time_until_token(state, std::max(state.rate, state.per_home.rate * homes));
}

base::duration refill_time(const account_state& state)
{
    if (state.capacity < 1) {
        return max_retry_after;
    }
    return time_until_token(state, state.rate);
}

/// Whether a loan request is pending or can be sent before `until`.
bool expects_loan(const account_state& state, base::time_point until)
{
    if (state.lenders.size() < state.homes.size()) {
        return true;
    }
    const auto homes_end = state.lenders.begin() + static_cast<std::ptrdiff_t>(state.homes.size());
    return std::any_of(state.lenders.begin(), homes_end, [&](const lender_state& lender) {
        return lender.pending_request != 0 || lender.retry_at < until;
    });
}

admission wait_until(const account_state& state, base::time_point ends, base::time_point now)
{
    admission decision;
    decision.verdict = admit_verdict::wait;
    decision.wait_ends = ends;
    decision.check_at = std::min(ends, now + refill_time(state));
    return decision;
}

admission refuse(const account_state& state)
{
    admission decision;
    decision.verdict = admit_verdict::rate_exceeded;
    decision.retry_after = retry_after(state);
    return decision;
}

} // namespace

admission admit(share_ledger& ledger, const base::account_id& account, base::time_point now)
{
    refresh_layout(ledger, now);
    account_state* state = state_of(ledger, account, now);
    if (state == nullptr) {
        const bool known = ledger.current && ledger.current->limits.contains(account);
        return {known ? admit_verdict::overloaded : admit_verdict::account_unknown, {}, {}, {}};
    }
    if (!state->configured) {
        return {admit_verdict::account_unknown, {}, {}, {}};
    }
    record_demand(*state, now);
    // Waiting requests are admitted first.
    if (state->tokens >= 1 + static_cast<double>(state->waiting)) {
        state->tokens -= 1;
        return {admit_verdict::admitted, {}, {}, {}};
    }
    const base::time_point ends = now + ledger.settings.max_wait;
    const bool may_wait = state->waiting < ledger.settings.max_waiting && ends > now &&
                          (now + refill_time(*state) <= ends || expects_loan(*state, ends));
    if (!may_wait) {
        return refuse(*state);
    }
    ++state->waiting;
    return wait_until(*state, ends, now);
}

admission admit_waiting(share_ledger& ledger, const base::account_id& account,
                        base::time_point wait_ends, base::time_point now)
{
    refresh_layout(ledger, now);
    account_state* state = state_of(ledger, account, now);
    if (state == nullptr) {
        return {admit_verdict::account_unknown, {}, {}, {}};
    }
    if (state->tokens < 1 && now < wait_ends) {
        return wait_until(*state, wait_ends, now);
    }
    state->waiting -= std::min<std::size_t>(state->waiting, 1);
    if (state->tokens < 1) {
        return refuse(*state);
    }
    state->tokens -= 1;
    return {admit_verdict::admitted, {}, {}, {}};
}

void stop_waiting(share_ledger& ledger, const base::account_id& account)
{
    const auto found = ledger.accounts.find(account);
    if (found != ledger.accounts.end() && found->second.waiting > 0) {
        --found->second.waiting;
    }
}

ledger_stats stats_of(const share_ledger& ledger)
{
    ledger_stats stats;
    stats.accounts = ledger.accounts.size();
    stats.loans_granted = ledger.loan_account.size();
    for (const auto& [account, state] : ledger.accounts) {
        stats.waiting += state.waiting;
        stats.loans_held += static_cast<std::size_t>(
            std::count_if(state.lenders.begin(), state.lenders.end(),
                          [](const lender_state& lender) { return lender.held.has_value(); }));
    }
    return stats;
}

} // namespace snipeshore::limits
