#include "apps/host/target_registry.h"

#include "telemetry/event_log.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace snipeshore::apps {

using telemetry::severity;

namespace {

auto stable_fields(const target_entry& entry)
{
    return std::tie(entry.service, entry.failure_domain, entry.address, entry.slots,
                    entry.is_leaving, entry.started_ms);
}

bool is_older(const target_entry& entry, const target_entry& known)
{
    return std::tie(entry.started_ms, entry.sequence) < std::tie(known.started_ms, known.sequence);
}

bool apply_entry(target_registry& registry, const target_entry& entry)
{
    registry.pending_removals.erase(entry.id);
    const auto found = registry.targets.find(entry.id);
    if (found != registry.targets.end() && is_older(entry, found->second)) {
        return false;
    }
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
    return is_change;
}

bool remove_now(target_registry& registry, const base::target_id& id, std::string_view cause)
{
    registry.pending_removals.erase(id);
    if (registry.targets.erase(id) == 0) {
        return false;
    }
    telemetry::log_event(severity::info, "target_gone", {{"target", id.value()}, {"cause", cause}});
    return true;
}

bool remove(target_registry& registry, const base::target_id& id, const registry_view& view)
{
    if (!registry.targets.contains(id)) {
        return false;
    }
    const base::time_point removal_time = view.store_reachable_since + view.reappear_time;
    if (view.now < removal_time) {
        registry.pending_removals[id] = removal_time;
        return false;
    }
    return remove_now(registry, id, "row removed");
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
            is_changed = remove_now(registry, id, "row unreadable") || is_changed;
            continue;
        }
        is_changed = apply_entry(registry, base::value_of(entry)) || is_changed;
    }
    return is_changed;
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
    for (auto entry = registry.pending_removals.begin();
         entry != registry.pending_removals.end();) {
        if (now < entry->second) {
            ++entry;
            continue;
        }
        telemetry::log_event(
            severity::info, "target_gone",
            {{"target", entry->first.value()}, {"cause", "row did not reappear in time"}});
        registry.targets.erase(entry->first);
        entry = registry.pending_removals.erase(entry);
        is_changed = true;
    }
    return is_changed;
}

} // namespace snipeshore::apps
