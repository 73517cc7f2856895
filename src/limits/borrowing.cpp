#include "limits/internal/bucket.h"
#include "limits/internal/prepared_layout.h"
#include "limits/share_ledger.h"

#include <algorithm>
#include <utility>

namespace snipeshore::limits {

namespace {

/// Rate that a host requests, as a multiple of its demand.
constexpr double wanted_rate_factor = 1.25;

/// As above, for renewals while the bucket is not low: homes need the rest to fill their buckets.
constexpr double renewed_rate_factor = 1.05;

/// A loan is returned if the remaining rate is at least this multiple of the demand.
constexpr double surplus_rate_factor = 1.5;

/// Rate is borrowed if the tokens last for less than this time of the demand.
constexpr double low_bucket_seconds = 0.25;

/// Tokens are borrowed for this time of the demand, which covers a round trip between regions.
constexpr double token_seconds = 0.1;

/// Tokens requested per waiting request, since some lenders have too few tokens.
constexpr double urgent_factor = 2;

constexpr base::duration initial_backoff = std::chrono::milliseconds(20);
constexpr unsigned max_backoff_doublings = 4;

/// Accounts whose homes are recomputed in one call after a change of the hosts. At 1,000 hosts each
/// takes about 50 us; more per call would block the loop thread.
constexpr std::size_t max_placed_per_call = 200;

/// Shortfalls below these values (tokens, and requests per second) are ignored.
constexpr double min_tokens = 0.01;
constexpr double min_rate = 0.01;

constexpr std::size_t max_queued_returns = 4096;

struct shortfall {
    double rate = 0;
    double tokens = 0;
};

bool is_low(const account_state& state, base::time_point now)
{
    return state.tokens - static_cast<double>(state.waiting) <
           demand_at(state, now) * low_bucket_seconds;
}

shortfall shortfall_of(const account_state& state, base::time_point now)
{
    const double demand = demand_at(state, now);
    const auto waiting = static_cast<double>(state.waiting);
    shortfall wanted;
    if (is_low(state, now)) {
        wanted.rate = wanted_rate_factor * demand - state.rate;
    }
    wanted.tokens = waiting * urgent_factor + demand * token_seconds - state.tokens;
    if (state.waiting > 0) {
        wanted.tokens = std::max(wanted.tokens, 1.0);
    }
    for (const lender_state& lender : state.lenders) {
        if (lender.pending_request != 0) {
            wanted.rate -= lender.pending_rate;
            wanted.tokens -= lender.pending_tokens;
        }
    }
    return {std::max(0.0, wanted.rate), std::max(0.0, wanted.tokens)};
}

void set_backoff(lender_state& lender, base::time_point now)
{
    lender.retry_at =
        now + initial_backoff * (1U << std::min(lender.refusals, max_backoff_doublings));
    ++lender.refusals;
}

void clear_pending(share_ledger& ledger, lender_state& lender)
{
    ledger.pending.erase(lender.pending_request);
    lender.pending_request = 0;
    lender.pending_rate = 0;
    lender.pending_tokens = 0;
}

void expire_pending_requests(share_ledger& ledger, account_state& state, base::time_point now)
{
    bool changed = false;
    for (lender_state& lender : state.lenders) {
        if (lender.pending_request != 0 &&
            now - lender.pending_since >= ledger.settings.loan_timeout) {
            clear_pending(ledger, lender);
            set_backoff(lender, now);
            changed = true;
        }
    }
    if (changed) {
        recompute(ledger, state, now);
    }
}

loan_request create_request(share_ledger& ledger, const base::account_id& account,
                            lender_state& lender, const shortfall& requested, base::time_point now)
{
    lender.pending_request = ledger.next_request++;
    lender.pending_rate = requested.rate;
    lender.pending_tokens = requested.tokens;
    lender.pending_since = now;
    ledger.pending.emplace(lender.pending_request, account);
    const double held = lender.held ? lender.held->rate : 0;
    return {lender.pending_request, lender.lender, account,           held + requested.rate,
            requested.tokens,       ledger.host,   ledger.incarnation};
}

/// Renews loans in the second half of their lease, as far as their rate is still needed.
void renew(share_ledger& ledger, const base::account_id& account, account_state& state,
           base::time_point now, std::vector<loan_request>& requests)
{
    const double factor = is_low(state, now) ? wanted_rate_factor : renewed_rate_factor;
    const double wanted = factor * demand_at(state, now);
    for (lender_state& lender : state.lenders) {
        if (!lender.held || lender.held->rate <= 0 || lender.pending_request != 0 ||
            now < lender.retry_at || lender.held->ends - now > ledger.settings.lease / 2) {
            continue;
        }
        const double without = state.rate - lender.held->rate;
        const double rate = std::min(lender.held->rate, wanted - without);
        if (rate > min_rate) {
            requests.push_back(
                create_request(ledger, account, lender, {rate - lender.held->rate, 0}, now));
        }
    }
}

void plan_for(share_ledger& ledger, const base::account_id& account, account_state& state,
              base::time_point now, std::vector<loan_request>& requests)
{
    expire_pending_requests(ledger, state, now);
    shortfall open = shortfall_of(state, now);
    const std::size_t before = requests.size();
    const bool is_open = open.rate >= min_rate || open.tokens >= min_tokens;
    if (is_open && state.lenders.size() < state.homes.size()) {
        arrange_lenders(ledger, state);
    }
    for (std::size_t index = 0; is_open && index < state.homes.size(); ++index) {
        if (open.rate < min_rate && open.tokens < min_tokens) {
            break;
        }
        lender_state& lender = state.lenders[index];
        if (lender.pending_request != 0 || now < lender.retry_at) {
            continue;
        }
        const shortfall requested{std::min(open.rate, state.per_home.rate),
                                  std::min(open.tokens, state.per_home.burst)};
        requests.push_back(create_request(ledger, account, lender, requested, now));
        open.rate -= requested.rate;
        open.tokens -= requested.tokens;
    }
    renew(ledger, account, state, now, requests);
    if (requests.size() != before) {
        recompute(ledger, state, now);
    }
}

void clear_unused_lenders(account_state& state, base::time_point now)
{
    const bool used =
        std::any_of(state.lenders.begin(), state.lenders.end(), [&](const lender_state& lender) {
            return lender.held || lender.pending_request != 0 || lender.retry_at > now;
        });
    if (!used) {
        state.lenders = {};
    }
}

bool is_surplus(const account_state& state, const held_loan& loan, base::time_point now)
{
    const bool rate_unneeded =
        state.rate - loan.rate >= surplus_rate_factor * demand_at(state, now);
    const bool fits = state.tokens <= state.capacity - loan.burst;
    const bool is_full = state.tokens >= state.capacity;
    return loan.rate > 0 ? rate_unneeded && (fits || is_full) : fits;
}

void queue_return(share_ledger& ledger, const lender_state& lender, const held_loan& loan)
{
    if (ledger.returns.size() < max_queued_returns) {
        ledger.returns.push_back({lender.lender, loan.loan});
    }
}

} // namespace

std::vector<loan_request> plan_loans(share_ledger& ledger, const base::account_id& account,
                                     base::time_point now)
{
    refresh_layout(ledger, now);
    std::vector<loan_request> requests;
    if (account_state* state = state_of(ledger, account, now)) {
        plan_for(ledger, account, *state, now, requests);
    }
    return requests;
}

std::vector<loan_request> plan_all_loans(share_ledger& ledger, base::time_point now)
{
    refresh_layout(ledger, now);
    std::vector<loan_request> requests;
    std::size_t placed = 0;
    for (auto item = ledger.accounts.begin(); item != ledger.accounts.end();) {
        if (item->second.layout_revision != ledger.revision && ++placed > max_placed_per_call) {
            ++item;
            continue;
        }
        account_state* state = state_of(ledger, item->first, now);
        plan_for(ledger, item->first, *state, now, requests);
        clear_unused_lenders(*state, now);
        item = can_evict(ledger, *state, now) ? ledger.accounts.erase(item) : std::next(item);
    }
    return requests;
}

std::vector<loan_return> plan_returns(share_ledger& ledger, base::time_point now)
{
    refresh_layout(ledger, now);
    for (auto& [account, state] : ledger.accounts) {
        if (state.lenders.empty() || state.layout_revision != ledger.revision) {
            continue;
        }
        advance(ledger, state, now);
        for (lender_state& lender : state.lenders) {
            if (lender.held && lender.pending_request == 0 &&
                is_surplus(state, *lender.held, now)) {
                queue_return(ledger, lender, *lender.held);
                lender.held.reset();
                recompute(ledger, state, now);
            }
        }
    }
    return std::exchange(ledger.returns, {});
}

std::vector<loan_return> return_all_loans(share_ledger& ledger, base::time_point now)
{
    refresh_layout(ledger, now);
    for (auto& [account, state] : ledger.accounts) {
        state_of(ledger, account, now);
        for (lender_state& lender : state.lenders) {
            clear_pending(ledger, lender);
            if (lender.held) {
                queue_return(ledger, lender, *lender.held);
                lender.held.reset();
            }
        }
        recompute(ledger, state, now);
    }
    return std::exchange(ledger.returns, {});
}

void receive_loan(share_ledger& ledger, std::uint64_t request, const loan_grant& grant,
                  base::time_point now)
{
    const auto pending = ledger.pending.find(request);
    if (pending == ledger.pending.end()) {
        return;
    }
    const base::account_id account = pending->second;
    account_state* state = state_of(ledger, account, now);
    if (state == nullptr) {
        ledger.pending.erase(request);
        return;
    }
    const auto lender =
        std::find_if(state->lenders.begin(), state->lenders.end(),
                     [&](const lender_state& item) { return item.pending_request == request; });
    if (lender == state->lenders.end()) {
        ledger.pending.erase(request);
        return;
    }
    const shortfall asked{lender->pending_rate, lender->pending_tokens};
    const base::time_point ends = lender->pending_since + grant.lease;
    const double held_rate = lender->held ? lender->held->rate : 0;
    clear_pending(ledger, *lender);
    if (grant.loan != 0 && ends > now) {
        if (lender->held &&
            (lender->held->rate > grant.rate || lender->held->burst > grant.burst)) {
            queue_return(ledger, *lender, *lender->held);
        }
        lender->held = held_loan{grant.loan, grant.rate, grant.burst, ends};
        state->tokens += std::min(grant.tokens, grant.burst);
    }
    const bool satisfied = grant.loan != 0 && grant.tokens >= asked.tokens / 2 &&
                           grant.rate - held_rate >= asked.rate / 2;
    if (satisfied) {
        lender->refusals = 0;
    } else {
        set_backoff(*lender, now);
    }
    recompute(ledger, *state, now);
}

void loan_failed(share_ledger& ledger, std::uint64_t request, base::time_point now)
{
    receive_loan(ledger, request, {}, now);
}

} // namespace snipeshore::limits
