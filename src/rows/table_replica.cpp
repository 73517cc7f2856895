#include "rows/table_replica.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace snipeshore::rows {

namespace {

std::vector<row> start_era(table_replica& replica, const std::vector<row>& all,
                           std::uint64_t version, std::uint64_t era)
{
    const auto before = std::exchange(replica.rows, {});
    replica.era = era;
    replica.version = version;
    replica.first_version = version;
    std::vector<row> changes;
    for (const row& one : all) {
        row& known = replica.rows[one.key];
        known = one;
        known.changed = one.version;
        const auto old = before.find(one.key);
        if (old == before.end() || old->second.removed || old->second.value != one.value) {
            changes.push_back(known);
        }
    }
    for (const auto& [key, old] : before) {
        if (!old.removed && !replica.rows.contains(key)) {
            replica.rows[key] = {key, {}, version, true, version};
            changes.push_back(replica.rows[key]);
        }
    }
    return changes;
}

} // namespace

std::vector<row> merge(table_replica& replica, const std::vector<row>& changes)
{
    std::vector<row> applied;
    for (const row& change : changes) {
        row& known = replica.rows[change.key];
        if (change.version <= known.version) {
            continue;
        }
        const bool is_repeat = replica.is_repeat && known.version != 0 && !known.removed &&
                               !change.removed && replica.is_repeat(known, change);
        const std::uint64_t changed = is_repeat ? known.changed : change.version;
        known = change;
        known.changed = changed;
        if (known.removed) {
            known.value.clear();
        }
        applied.push_back(known);
    }
    return applied;
}

std::vector<row> replace(table_replica& replica, const std::vector<row>& all, std::uint64_t version,
                         std::uint64_t era)
{
    if (era != replica.era) {
        return start_era(replica, all, version, era);
    }
    std::set<std::string> present;
    for (const row& one : all) {
        present.insert(one.key);
    }
    std::vector<row> changes = all;
    for (const auto& [key, known] : replica.rows) {
        if (!known.removed && !present.contains(key) && known.version <= version) {
            changes.push_back({key, {}, version, true});
            // A row that the newest transaction changed and that was removed since has no later
            // version here.
            changes.back().version = std::max(version, known.version + 1);
        }
    }
    if (replica.version == 0) {
        replica.first_version = version;
    }
    replica.version = std::max(replica.version, version);
    return merge(replica, changes);
}

bool is_news(const row& change)
{
    return change.changed == change.version;
}

bool is_newer(std::uint64_t era, std::uint64_t version, const table_replica& replica)
{
    return std::tie(era, version) > std::tie(replica.era, replica.version);
}

replica_update update_after(const table_replica& replica, std::uint64_t after)
{
    replica_update update;
    update.version = replica.version;
    update.era = replica.era;
    update.is_full = after < replica.first_version;
    for (const auto& [key, known] : replica.rows) {
        if (update.is_full ? !known.removed : known.changed > after) {
            update.rows.push_back(known);
        }
    }
    std::sort(update.rows.begin(), update.rows.end(),
              [](const row& left, const row& right) { return left.version < right.version; });
    return update;
}

std::vector<row> apply(table_replica& replica, const replica_update& update)
{
    if (update.is_full) {
        const bool is_older =
            std::tie(update.era, update.version) < std::tie(replica.era, replica.version);
        return is_older ? std::vector<row>{}
                        : replace(replica, update.rows, update.version, update.era);
    }
    if (update.era != replica.era) {
        return {};
    }
    const std::vector<row> applied = merge(replica, update.rows);
    replica.version = std::max(replica.version, update.version);
    return applied;
}

} // namespace snipeshore::rows
