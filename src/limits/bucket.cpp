#include "limits/internal/bucket.h"

#include "base/hash.h"
#include "limits/home_hosts.h"
#include "limits/internal/prepared_layout.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace snipeshore::limits {

namespace {

/// Time constant of the demand estimate; short enough that loans follow a change of the demand
/// within one lease.
constexpr double demand_time_constant_s = 0.5;

/// Demand in requests per second below which an account is idle.
constexpr double idle_demand = 0.01;

constexpr double max_duration_s = 1e6;

share home_share_in(const prepared_layout& layout, const base::account_id& account,
                    std::size_t homes)
{
    const auto limit = layout.limits.find(account);
    if (limit == layout.limits.end()) {
        return {};
    }
    return home_share(
        {account, base::request_rate(limit->second.rate), base::request_count(limit->second.burst)},
        homes);
}

/// Minimum of this host's shares under the current and the older layouts.
share own_share(const share_ledger& ledger, const base::account_id& account,
                const account_state& state)
{
    if (ledger.history_unknown || !state.is_home) {
        return {};
    }
    share own = state.per_home;
    for (const auto& layout : ledger.older) {
        // Hosts with a layout that lacks the account admit nothing for it, so that layout does not
        // restrict the share.
        if (!layout->limits.contains(account)) {
            continue;
        }
        const share old = layout->hosts_revision == state.hosts_revision
                              ? home_share_in(*layout, account, state.homes.size() + 1)
                              : share_in(*layout, account, ledger.host).value_or(share{});
        own.rate = std::min(own.rate, old.rate);
        own.burst = std::min(own.burst, old.burst);
    }
    return own;
}

void find_homes(const share_ledger& ledger, const base::account_id& account, account_state& state)
{
    const prepared_layout& layout = *ledger.current;
    state.hosts_revision = layout.hosts_revision;
    state.homes = homes_in(layout, account);
    state.is_home = std::erase_if(state.homes, [&](std::uint32_t position) {
                        return layout.hosts[position].id == ledger.host;
                    }) > 0;
    // Each host starts at a different lender, so that the first lenders in the list are not
    // overloaded.
    if (!state.homes.empty()) {
        const std::size_t start = base::stable_hash(ledger.host.value()) % state.homes.size();
        std::rotate(state.homes.begin(), state.homes.begin() + static_cast<std::ptrdiff_t>(start),
                    state.homes.end());
    }
    std::stable_partition(state.homes.begin(), state.homes.end(), [&](std::uint32_t position) {
        return layout.hosts[position].failure_domain == ledger.own_domain;
    });
    if (!state.lenders.empty()) {
        arrange_lenders(ledger, state);
    }
}

void update_placement(const share_ledger& ledger, const base::account_id& account,
                      account_state& state)
{
    state.layout_revision = ledger.revision;
    if (state.hosts_revision != ledger.current->hosts_revision) {
        find_homes(ledger, account, state);
    }
    state.configured = ledger.current->limits.contains(account);
    state.per_home =
        home_share_in(*ledger.current, account, state.homes.size() + (state.is_home ? 1 : 0));
    state.own = own_share(ledger, account, state);
}

/// Refills at the old rate until the change, and at the new rate after it.
void apply_revision(share_ledger& ledger, const base::account_id& account, account_state& state)
{
    if (state.layout_revision + 1 != ledger.revision) {
        // The shares between several changes are no longer known.
        state.own = {};
        recompute(ledger, state, state.refilled);
    }
    advance(ledger, state, ledger.revised_at);
    update_placement(ledger, account, state);
    recompute(ledger, state, std::max(state.refilled, ledger.revised_at));
}

base::time_point unused_since(const share_ledger& ledger, const base::account_id& account)
{
    base::time_point since = std::max(ledger.usable_from, ledger.shares_since);
    const auto changed = ledger.limits_since.find(account);
    if (changed != ledger.limits_since.end()) {
        since = std::max(since, changed->second);
    }
    return since;
}

/// Tokens of a bucket without state, which started empty.
double unused_bucket_tokens(const share_ledger& ledger, const base::account_id& account,
                            const share& own, base::time_point now)
{
    const double seconds = std::max(0.0, seconds_of(now - unused_since(ledger, account)));
    return std::min(own.burst, own.rate * seconds);
}

void drop_ended_loans(share_ledger& ledger, account_state& state, base::time_point at)
{
    for (lender_state& lender : state.lenders) {
        if (lender.held && lender.held->ends <= at) {
            lender.held.reset();
        }
    }
    for (borrower_state& borrower : state.borrowers) {
        std::erase_if(borrower.loans, [&](const granted_loan& loan) {
            if (loan.ends > at) {
                return false;
            }
            ledger.loan_account.erase(loan.loan);
            return true;
        });
    }
    std::erase_if(state.borrowers,
                  [](const borrower_state& borrower) { return borrower.loans.empty(); });
}

void refill(account_state& state, base::time_point until)
{
    if (until <= state.refilled) {
        return;
    }
    const double added = state.rate * seconds_of(until - state.refilled);
    state.tokens = std::min(state.capacity, state.tokens + added);
    state.refilled = until;
}

} // namespace

void arrange_lenders(const share_ledger& ledger, account_state& state)
{
    std::vector<lender_state> before = std::exchange(state.lenders, {});
    for (const std::uint32_t position : state.homes) {
        const base::host_id& home = ledger.current->hosts[position].id;
        const auto known =
            std::find_if(before.begin(), before.end(),
                         [&](const lender_state& item) { return item.lender == home; });
        if (known == before.end()) {
            state.lenders.emplace_back();
            state.lenders.back().lender = home;
            continue;
        }
        state.lenders.push_back(std::move(*known));
        before.erase(known);
    }
    for (lender_state& former : before) {
        if (former.held || former.pending_request != 0) {
            state.lenders.push_back(std::move(former));
        }
    }
}

double seconds_of(base::duration time)
{
    return std::chrono::duration<double>(time).count();
}

base::duration duration_of(double seconds)
{
    return std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>(std::clamp(seconds, 0.0, max_duration_s)));
}

account_state* state_of(share_ledger& ledger, const base::account_id& account, base::time_point now)
{
    if (!ledger.current) {
        return nullptr;
    }
    const auto found = ledger.accounts.find(account);
    if (found != ledger.accounts.end()) {
        account_state& state = found->second;
        if (state.layout_revision != ledger.revision) {
            apply_revision(ledger, account, state);
        }
        advance(ledger, state, now);
        return &state;
    }
    if (!ledger.current->limits.contains(account) ||
        ledger.accounts.size() >= ledger.settings.max_accounts) {
        return nullptr;
    }
    account_state& state = ledger.accounts[account];
    update_placement(ledger, account, state);
    state.refilled = now;
    state.demand_at = now;
    state.tokens = unused_bucket_tokens(ledger, account, state.own, now);
    recompute(ledger, state, now);
    return &state;
}

void advance(share_ledger& ledger, account_state& state, base::time_point now)
{
    while (state.next_event <= now) {
        const base::time_point event = state.next_event;
        refill(state, event);
        drop_ended_loans(ledger, state, event);
        recompute(ledger, state, event);
    }
    refill(state, now);
}

share usable_own_share(const share_ledger& ledger, const account_state& state, base::time_point at)
{
    return at < ledger.usable_from ? share{} : state.own;
}

share reserved_for(const borrower_state& borrower)
{
    share reserved;
    for (const granted_loan& loan : borrower.loans) {
        reserved.rate = std::max(reserved.rate, loan.rate);
        reserved.burst = std::max(reserved.burst, loan.burst);
    }
    return reserved;
}

void recompute(const share_ledger& ledger, account_state& state, base::time_point at)
{
    share own = usable_own_share(ledger, state, at);
    base::time_point next = at < ledger.usable_from ? ledger.usable_from : base::time_point::max();
    for (const borrower_state& borrower : state.borrowers) {
        const share reserved = reserved_for(borrower);
        own.rate -= reserved.rate;
        own.burst -= reserved.burst;
        for (const granted_loan& loan : borrower.loans) {
            next = std::min(next, loan.ends);
        }
    }
    state.rate = std::max(0.0, own.rate);
    state.capacity = std::max(0.0, own.burst);
    for (const lender_state& lender : state.lenders) {
        if (!lender.held) {
            continue;
        }
        state.rate += lender.held->rate;
        // Tokens in flight from the lender must fit into the capacity that the lender reserves.
        const double room =
            lender.pending_request == 0 ? 0 : std::min(lender.pending_tokens, lender.held->burst);
        state.capacity += lender.held->burst - room;
        next = std::min(next, lender.held->ends);
    }
    state.next_event = next;
    state.tokens = std::min(state.tokens, state.capacity);
}

double demand_at(const account_state& state, base::time_point now)
{
    if (now <= state.demand_at) {
        return state.demand;
    }
    return state.demand * std::exp(-seconds_of(now - state.demand_at) / demand_time_constant_s);
}

void record_demand(account_state& state, base::time_point now)
{
    state.demand = demand_at(state, now) + 1 / demand_time_constant_s;
    state.demand_at = std::max(state.demand_at, now);
}

bool can_evict(const share_ledger& ledger, const account_state& state, base::time_point now)
{
    const bool linked = !state.borrowers.empty() || !state.lenders.empty() || state.waiting > 0;
    // Only a full bucket may be dropped: a new bucket never has more tokens.
    return !linked && now >= ledger.usable_from && demand_at(state, now) < idle_demand &&
           state.tokens >= state.own.burst;
}

} // namespace snipeshore::limits
