#include "limits/internal/bucket.h"
#include "limits/internal/prepared_layout.h"
#include "limits/share_ledger.h"

#include "base/hash.h"

#include <algorithm>
#include <string>
#include <unordered_set>

namespace snipeshore::limits {

namespace {

/// Older layouts with different hosts that are stored separately. At the target size about 7 hosts
/// are replaced during a network partition of one hour.
constexpr std::size_t max_older_layouts = 16;

base::duration max_loan_duration(const share_ledger& ledger)
{
    return ledger.settings.lease + ledger.settings.lease_margin;
}

bool same_limit(const prepared_layout& left, const prepared_layout& right,
                const base::account_id& account)
{
    const auto first = left.limits.find(account);
    const auto second = right.limits.find(account);
    if (first == left.limits.end() || second == right.limits.end()) {
        return first == left.limits.end() && second == right.limits.end();
    }
    return first->second.rate == second->second.rate && first->second.burst == second->second.burst;
}

bool same_shares(const prepared_layout& left, const prepared_layout& right)
{
    return left.limits.size() == right.limits.size() && same_hosts(left, right) &&
           std::all_of(left.limits.begin(), left.limits.end(),
                       [&](const auto& item) { return same_limit(left, right, item.first); });
}

void retain_older_layout(share_ledger& ledger, const std::shared_ptr<const prepared_layout>& layout)
{
    for (auto& kept : ledger.older) {
        if (same_hosts(*kept, *layout)) {
            kept = min_limits_of(*kept, *layout);
            return;
        }
    }
    if (ledger.older.size() < max_older_layouts) {
        ledger.older.push_back(layout);
        return;
    }
    // Beyond the limit only the hosts are kept; the own shares are unusable until all hosts have
    // confirmed the newest version.
    auto merged = std::make_shared<prepared_layout>(*ledger.older.back());
    merged->host_set.insert(layout->host_set.begin(), layout->host_set.end());
    ledger.older.back() = merged;
    ledger.history_unknown = true;
}

/// Keeps the order of the hosts if the set of hosts is unchanged, so that the computed homes of the
/// accounts stay valid.
void assign_hosts(share_ledger& ledger, prepared_layout& next)
{
    if (ledger.current && same_hosts(*ledger.current, next)) {
        next.hosts = ledger.current->hosts;
        next.domains = ledger.current->domains;
    } else {
        ++ledger.hosts_revision;
        ledger.own_domain = {};
        for (const entry_host& host : next.hosts) {
            if (host.id == ledger.host) {
                ledger.own_domain = host.failure_domain;
            }
        }
    }
    next.hosts_revision = ledger.hosts_revision;
}

/// Records from when buckets without state refill, for shares that may grow now.
void mark_changed_shares(share_ledger& ledger, base::time_point now)
{
    const prepared_layout& current = *ledger.current;
    std::erase_if(ledger.limits_since, [&](const auto& item) {
        const auto limit = current.limits.find(item.first);
        return limit == current.limits.end() ||
               limit->second.rate * seconds_of(now - item.second) > limit->second.burst;
    });
    if (ledger.history_unknown) {
        ledger.shares_since = now;
    }
    for (const auto& old : ledger.older) {
        if (!same_hosts(*old, current)) {
            ledger.shares_since = now;
            continue;
        }
        for (const auto& [account, limit] : current.limits) {
            if (!same_limit(*old, current, account)) {
                ledger.limits_since[account] = now;
            }
        }
    }
}

/// Whether every host that may use a share of an older layout has confirmed the current version.
bool all_confirmed(const share_ledger& ledger, const fleet_view& view)
{
    const std::unordered_set<base::host_id> listed(view.listed.begin(), view.listed.end());
    if (ledger.history_unknown && (!view.listed_known || !listed.contains(ledger.host))) {
        return false;
    }
    std::unordered_map<base::host_id, base::document_version> in_force;
    for (const host_version& item : view.in_force) {
        in_force[item.host] = item.version;
    }
    std::unordered_set<base::host_id> required = ledger.current->host_set;
    for (const auto& old : ledger.older) {
        required.insert(old->host_set.begin(), old->host_set.end());
    }
    if (ledger.history_unknown) {
        required.insert(listed.begin(), listed.end());
        for (const host_version& item : view.in_force) {
            required.insert(item.host);
        }
    }
    required.erase(ledger.host);
    return std::all_of(required.begin(), required.end(), [&](const base::host_id& host) {
        const auto found = in_force.find(host);
        if (found == in_force.end()) {
            return view.listed_known && !listed.contains(host);
        }
        // A host with a newer version may have skipped this one and would not know this layout.
        return found->second == ledger.current->version;
    });
}

} // namespace

share_ledger make_ledger(const ledger_settings& settings, const base::host_id& host,
                         base::incarnation incarnation, base::time_point now)
{
    share_ledger ledger;
    ledger.settings = settings;
    ledger.host = host;
    ledger.incarnation = incarnation;
    ledger.usable_from = now + max_loan_duration(ledger);
    ledger.shares_since = ledger.usable_from;
    // Loan numbers of two incarnations must differ: a late return of an old loan would otherwise
    // release a loan that is in use.
    ledger.next_loan =
        base::stable_hash(host.value() + "/" + std::to_string(incarnation.value())) | 1U;
    return ledger;
}

void refresh_layout(share_ledger& ledger, base::time_point now)
{
    if (!ledger.older_end || now < *ledger.older_end) {
        return;
    }
    const base::time_point end = *ledger.older_end;
    mark_changed_shares(ledger, end);
    ledger.older.clear();
    ledger.older_end.reset();
    ledger.history_unknown = false;
    ++ledger.revision;
    ledger.revised_at = end;
}

void install_layout(share_ledger& ledger, const layout& next, base::time_point now)
{
    if (ledger.current && next.version.value() <= ledger.current->version.value()) {
        return;
    }
    refresh_layout(ledger, now);
    const std::shared_ptr<prepared_layout> prepared = prepare(next);
    assign_hosts(ledger, *prepared);
    const bool changed = ledger.current && !same_shares(*ledger.current, *prepared);
    if (changed) {
        retain_older_layout(ledger, ledger.current);
    }
    // The bucket of a new account starts empty, since the account may have been used before it was
    // removed earlier.
    for (const auto& [account, limit] : prepared->limits) {
        if (ledger.current && !ledger.current->limits.contains(account)) {
            ledger.limits_since[account] = now;
        }
    }
    // Most versions change no share and leave the state of the accounts unchanged.
    if (changed || !ledger.current) {
        ++ledger.revision;
        ledger.revised_at = now;
    }
    ledger.older_end.reset();
    ledger.current = prepared;
}

void update_fleet(share_ledger& ledger, const fleet_view& view, base::time_point now)
{
    refresh_layout(ledger, now);
    const bool open = ledger.history_unknown || !ledger.older.empty();
    if (!ledger.current || !open || ledger.older_end || !all_confirmed(ledger, view)) {
        return;
    }
    // Loans that other hosts granted under an older layout end within this time.
    ledger.older_end = now + max_loan_duration(ledger);
}

base::document_version version_in_force(const share_ledger& ledger)
{
    return ledger.current ? ledger.current->version : base::document_version();
}

bool uses_full_share(const share_ledger& ledger, base::time_point now)
{
    const bool ending = ledger.older_end && now >= *ledger.older_end;
    const bool restricted = ledger.history_unknown || !ledger.older.empty();
    return ledger.current && now >= ledger.usable_from && (!restricted || ending);
}

} // namespace snipeshore::limits
