#include "apps/host/target_registry.h"

#include "telemetry/event_log.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <set>
#include <tuple>

namespace snipeshore::apps {

using telemetry::severity;

namespace {

/// A target that is gone can have a row again when the store was restored to an earlier state. The
/// store removes rows that are not renewed sooner than this.
constexpr std::chrono::milliseconds hold_time{6000};

/// Longer than any copy from which the store is restored is old.
constexpr std::chrono::minutes departed_retention{10};

auto stable_fields(const target_entry& entry)
{
    return std::tie(entry.service, entry.failure_domain, entry.address, entry.slots,
                    entry.is_leaving, entry.started_ms);
}

bool is_older(const target_entry& entry, const target_entry& known)
{
    return std::tie(entry.started_ms, entry.sequence) < std::tie(known.started_ms, known.sequence);
}

/// Whether rows may differ from the last ones because the store came back with an earlier state.
bool is_just_restored(const registry_view& view)
{
    return view.store_restored_at.has_value() &&
           view.now < *view.store_restored_at + view.reappear_time;
}

/// Whether the entry may be one that a target wrote before it left: its incarnation is known to
/// have left, and the entry is no later one or comes from a store that was just restored.
bool may_be_departed(const target_registry& registry, const target_entry& entry,
                     const registry_view& view)
{
    const auto left = registry.departed.find(entry.id);
    if (left == registry.departed.end() || entry.started_ms > left->second.started_ms) {
        return false;
    }
    const auto held = registry.held.find(entry.id);
    if (held != registry.held.end()) {
        return entry.sequence <= held->second.entry.sequence;
    }
    return is_just_restored(view) || entry.sequence <= left->second.sequence;
}

bool use_entry(target_registry& registry, const target_entry& entry)
{
    const auto found = registry.targets.find(entry.id);
    const bool is_change = found == registry.targets.end() ||
                           stable_fields(entry) != stable_fields(found->second) ||
                           entry.cold_for.count() > 0;
    if (is_change) {
        telemetry::log_event(severity::info, "target_learned",
                             {{"target", entry.id.value()},
                              {"service", entry.service.value()},
                              {"address", entry.address},
                              {"failure_domain", entry.failure_domain.value()},
                              {"leaving", entry.is_leaving},
                              {"cold_ms", static_cast<std::int64_t>(entry.cold_for.count())}});
    }
    registry.targets[entry.id] = entry;
    registry.departed.erase(entry.id);
    registry.held.erase(entry.id);
    return is_change;
}

bool apply_entry(target_registry& registry, const target_entry& entry, const registry_view& view)
{
    const auto found = registry.targets.find(entry.id);
    if (found != registry.targets.end() && is_older(entry, found->second)) {
        return false;
    }
    registry.pending_removals.erase(entry.id);
    if (found == registry.targets.end() && may_be_departed(registry, entry, view)) {
        const auto [held, is_new] =
            registry.held.try_emplace(entry.id, held_entry{entry, view.now + hold_time});
        if (is_new) {
            telemetry::log_event(severity::info, "target_row_held",
                                 {{"target", entry.id.value()}, {"sequence", entry.sequence}});
        }
        return false;
    }
    return use_entry(registry, entry);
}

bool remove_now(target_registry& registry, const base::target_id& id, base::time_point now,
                std::string_view cause)
{
    registry.pending_removals.erase(id);
    const auto found = registry.targets.find(id);
    if (found == registry.targets.end()) {
        return false;
    }
    telemetry::log_event(severity::info, "target_gone", {{"target", id.value()}, {"cause", cause}});
    registry.departed[id] = {found->second.started_ms, found->second.sequence,
                             now + departed_retention};
    registry.targets.erase(found);
    return true;
}

bool remove(target_registry& registry, const base::target_id& id, const registry_view& view)
{
    registry.held.erase(id);
    if (!registry.targets.contains(id)) {
        return false;
    }
    const base::time_point removal_time = view.store_reachable_since + view.reappear_time;
    if (view.now < removal_time) {
        registry.pending_removals[id] = removal_time;
        return false;
    }
    return remove_now(registry, id, view.now, "row removed");
}

base::region_id region_of(const target_registry& registry, const base::failure_domain_id& domain)
{
    const auto found = registry.regions.find(domain);
    return found == registry.regions.end() ? base::region_id{} : found->second;
}

struct row_count {
    std::size_t present = 0;
    std::size_t missing = 0;
};

/// Counts the rows by region.
std::map<base::region_id, row_count> count_rows(const target_registry& registry)
{
    std::map<base::region_id, row_count> counts;
    for (const auto& [id, entry] : registry.targets) {
        row_count& count = counts[region_of(registry, entry.failure_domain)];
        ++(registry.pending_removals.contains(id) ? count.missing : count.present);
    }
    return counts;
}

/// Regions whose missing rows may have expired. An outage of the store keeps all targets, or those
/// of a region, from renewing their rows; where most rows are there, the targets of the missing
/// ones have left. The host's own contact with the store does not tell: its connections can be lost
/// while the store is up.
std::set<base::region_id> find_expired_regions(const target_registry& registry)
{
    const std::map<base::region_id, row_count> counts = count_rows(registry);
    row_count all;
    for (const auto& [region, count] : counts) {
        all.present += count.present;
        all.missing += count.missing;
    }
    std::set<base::region_id> expired;
    for (const auto& [region, count] : counts) {
        // One row alone does not show that its region has lost the store.
        const bool is_region_lost = count.missing > std::max<std::size_t>(count.present, 1);
        if (is_region_lost || all.missing > all.present) {
            expired.insert(region);
        }
    }
    return expired;
}

/// Removes the targets whose rows were removed by these changes and cannot have expired.
bool remove_departed(target_registry& registry, const std::vector<rows::row>& changes,
                     const registry_view& view)
{
    if (registry.pending_removals.empty() || is_just_restored(view)) {
        return false;
    }
    const std::set<base::region_id> expired = find_expired_regions(registry);
    bool is_changed = false;
    for (const rows::row& change : changes) {
        const base::target_id id(change.key);
        const auto pending = registry.pending_removals.find(id);
        if (!change.removed || pending == registry.pending_removals.end()) {
            continue;
        }
        const base::failure_domain_id& domain = registry.targets.at(id).failure_domain;
        if (!expired.contains(region_of(registry, domain))) {
            is_changed = remove_now(registry, id, view.now, "row removed") || is_changed;
            continue;
        }
        telemetry::log_event(
            severity::info, "target_row_missing",
            {{"target", id.value()}, {"removal_in_ms", base::to_ms(pending->second - view.now)}});
    }
    return is_changed;
}

} // namespace

bool apply_rows(target_registry& registry, const row_formats& formats,
                const std::vector<rows::row>& changes, const registry_view& view)
{
    bool is_changed = false;
    for (const rows::row& change : changes) {
        const base::target_id id(change.key);
        if (change.removed) {
            is_changed = remove(registry, id, view) || is_changed;
            continue;
        }
        const auto entry = formats.parse_target(change.key, change.value);
        if (!base::is_ok(entry)) {
            telemetry::log_event(severity::warning, "target_row_unreadable",
                                 {{"target", change.key}, {"cause", base::error_of(entry).detail}});
            // The row no longer says where the target is. A host that starts now does not learn the
            // target either. If the target is alive, its next report replaces the row.
            registry.held.erase(id);
            is_changed = remove_now(registry, id, view.now, "row unreadable") || is_changed;
            continue;
        }
        is_changed = apply_entry(registry, base::value_of(entry), view) || is_changed;
    }
    return remove_departed(registry, changes, view) || is_changed;
}

bool is_liveness_report(const row_formats& formats, const rows::row& before, const rows::row& after)
{
    const auto old_entry = formats.parse_target(before.key, before.value);
    const auto new_entry = formats.parse_target(after.key, after.value);
    return base::is_ok(old_entry) && base::is_ok(new_entry) &&
           base::value_of(new_entry).cold_for.count() == 0 &&
           base::value_of(old_entry).cold_for.count() == 0 &&
           stable_fields(base::value_of(old_entry)) == stable_fields(base::value_of(new_entry));
}

bool remove_expired(target_registry& registry, base::time_point now)
{
    bool is_changed = false;
    const auto pending = registry.pending_removals;
    for (const auto& [id, removal_time] : pending) {
        if (now >= removal_time) {
            is_changed =
                remove_now(registry, id, now, "row did not reappear in time") || is_changed;
        }
    }
    std::erase_if(registry.departed,
                  [now](const auto& one) { return now >= one.second.forget_at; });
    return is_changed;
}

bool use_held(target_registry& registry, base::time_point now)
{
    bool is_changed = false;
    const auto held = registry.held;
    for (const auto& [id, entry] : held) {
        if (now >= entry.use_at) {
            is_changed = use_entry(registry, entry.entry) || is_changed;
        }
    }
    return is_changed;
}

} // namespace snipeshore::apps
