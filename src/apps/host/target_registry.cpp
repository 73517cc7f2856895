#include "apps/host/target_registry.h"

#include "telemetry/event_log.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace snipeshore::apps {

using telemetry::severity;

namespace {

auto lasting_parts(const target_entry& entry)
{
    return std::tie(entry.service, entry.failure_domain, entry.address, entry.slots,
                    entry.is_leaving, entry.started_ms);
}

bool is_older(const target_entry& entry, const target_entry& known)
{
    return std::tie(entry.started_ms, entry.sequence) < std::tie(known.started_ms, known.sequence);
}

bool take_entry(target_registry& registry, const target_entry& entry)
{
    registry.vanished.erase(entry.id);
    const auto found = registry.targets.find(entry.id);
    if (found != registry.targets.end() && is_older(entry, found->second)) {
        return false;
    }
    const bool is_change = found == registry.targets.end() ||
                           lasting_parts(entry) != lasting_parts(found->second) ||
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

bool remove(target_registry& registry, const base::target_id& id, const registry_view& view)
{
    if (!registry.targets.contains(id)) {
        return false;
    }
    const base::time_point believed = view.in_touch_since + view.reappear_time;
    if (view.now < believed) {
        registry.vanished[id] = believed;
        return false;
    }
    telemetry::log_event(severity::info, "target_gone", {{"target", id.value()}});
    registry.targets.erase(id);
    return true;
}

} // namespace

bool take_rows(target_registry& registry, const row_formats& formats,
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
            continue;
        }
        is_changed = take_entry(registry, base::value_of(entry)) || is_changed;
    }
    return is_changed;
}

bool is_mere_report(const row_formats& formats, const rows::row& before, const rows::row& after)
{
    const auto old_entry = formats.parse_target(before.key, before.value);
    const auto new_entry = formats.parse_target(after.key, after.value);
    return base::is_ok(old_entry) && base::is_ok(new_entry) &&
           base::value_of(new_entry).cold_for.count() == 0 &&
           base::value_of(old_entry).cold_for.count() == 0 &&
           lasting_parts(base::value_of(old_entry)) == lasting_parts(base::value_of(new_entry));
}

bool drop_vanished(target_registry& registry, base::time_point now)
{
    bool is_changed = false;
    for (auto entry = registry.vanished.begin(); entry != registry.vanished.end();) {
        if (now < entry->second) {
            ++entry;
            continue;
        }
        telemetry::log_event(severity::info, "target_gone",
                             {{"target", entry->first.value()}, {"cause", "not back in time"}});
        registry.targets.erase(entry->first);
        entry = registry.vanished.erase(entry);
        is_changed = true;
    }
    return is_changed;
}

} // namespace snipeshore::apps
