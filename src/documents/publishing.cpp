#include "documents/publishing.h"

#include "base/json_reader.h"
#include "documents/text.h"
#include "documents/types/replica.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace snipeshore::documents {

namespace {

// Upper bound on the publications that may follow before a publisher reads the row again.
constexpr std::size_t max_previous_ids = 16;

// A power of ten, so that era and count can be read from a version. At 2,500 publications a day an
// era has versions for a thousand years, and JSON readers that use doubles are exact for nine
// million eras.
constexpr std::uint64_t versions_per_era = 1'000'000'000;

/// Ids of the publications before the next one, newest first.
std::vector<std::string> next_previous_ids(const published_row& row)
{
    if (!row.record) {
        return {};
    }
    auto ids = row.record->previous_ids;
    ids.insert(ids.begin(), row.record->id);
    if (ids.size() > max_previous_ids) {
        ids.resize(max_previous_ids);
    }
    return ids;
}

bool is_under(const std::string& path, const std::string& parent)
{
    return path.starts_with(parent) && (path.size() == parent.size() || path[parent.size()] == '/');
}

bool overlaps(const std::string& path, const std::vector<std::string>& others)
{
    return std::any_of(others.begin(), others.end(), [&path](const std::string& other) {
        return is_under(path, other) || is_under(other, path);
    });
}

} // namespace

std::string row_key(std::string_view name)
{
    return "documents/" + std::string(name);
}

std::string text_object_name(std::string_view name, base::document_version version)
{
    return row_key(name) + "/" + std::to_string(version.value());
}

std::string patch_object_name(std::string_view name, base::document_version version)
{
    return text_object_name(name, version) + ".patch";
}

std::string encode(const publication& record)
{
    const nlohmann::json value{{"version", record.version.value()},
                               {"digest", record.digest},
                               {"publication_id", record.id},
                               {"previous_ids", record.previous_ids}};
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

base::result<publication> decode(std::string_view row_value)
{
    try {
        const auto value = base::parse_json(row_value);
        publication record;
        record.version =
            base::document_version(value.at("version").get_ref<const std::uint64_t&>());
        record.digest = value.at("digest").get<std::string>();
        record.id = value.at("publication_id").get<std::string>();
        // Optional: some publishers do not write this field.
        record.previous_ids = value.value("previous_ids", std::vector<std::string>{});
        return record;
    } catch (const nlohmann::json::exception& failure) {
        return base::error{base::error_kind::document_invalid,
                           std::string("malformed document row: ") + failure.what()};
    }
}

base::document_version first_version(std::uint64_t store_era)
{
    return base::document_version(store_era * versions_per_era + 1);
}

base::document_version highest_version(const published_row& row, base::document_version fleet)
{
    return row.record ? std::max(row.record->version, fleet) : fleet;
}

base::document_version next_version(const published_row& row, base::document_version fleet,
                                    std::uint64_t skip)
{
    const base::document_version next(highest_version(row, fleet).value() + 1 + skip);
    return std::max(next, first_version(row.store_era));
}

bool is_up_to_date(const publish_request& request, const published_row& row,
                   base::document_version fleet)
{
    return request.edited_from == highest_version(row, fleet);
}

base::result<publish_plan> plan_publish(const publish_request& request, const published_row& row,
                                        base::document_version fleet, std::string_view current_text,
                                        std::uint64_t skip)
{
    auto text = canonical_text(request.text);
    if (!base::is_ok(text)) {
        return base::error_of(text);
    }
    if (!is_up_to_date(request, row, fleet)) {
        return base::error{base::error_kind::version_conflict,
                           "version " + std::to_string(highest_version(row, fleet).value()) +
                               " is in force, but the edit is based on version " +
                               std::to_string(request.edited_from.value())};
    }
    publish_plan plan;
    plan.expected_row_version = row.row_version;
    plan.store_era = row.store_era;
    plan.text = std::move(base::value_of(text));
    plan.record.version = next_version(row, fleet, skip);
    plan.record.digest = digest_of(plan.text);
    plan.record.id = request.id;
    plan.record.previous_ids = next_previous_ids(row);
    const bool is_consecutive = plan.record.version.value() == request.edited_from.value() + 1;
    if (!current_text.empty() && is_consecutive) {
        auto patch = patch_between(current_text, plan.text);
        if (base::is_ok(patch)) {
            plan.patch = std::move(base::value_of(patch));
        }
    }
    return plan;
}

std::optional<publish_plan> plan_rewrite(const published_row& row, const replica& held)
{
    // In the same era a lower version in the row is an old reply, not a loss.
    const bool was_restored = held.version < first_version(row.store_era);
    if (!was_restored || held.version <= highest_version(row, {})) {
        return std::nullopt;
    }
    publish_plan plan;
    plan.expected_row_version = row.row_version;
    plan.store_era = row.store_era;
    plan.text = held.text;
    // Hosts do not know the id of the publication. Its publisher compares the digest.
    plan.record = {held.version, held.digest, "rewritten-" + std::to_string(held.version.value()),
                   next_previous_ids(row)};
    return plan;
}

publish_step after_write(const base::status& outcome)
{
    if (base::is_ok(outcome)) {
        return publish_step::published;
    }
    switch (base::error_of(outcome).kind) {
    // A conflict may be caused by an earlier write of this publication whose reply was lost.
    case base::error_kind::version_conflict:
    case base::error_kind::store_unknown:
        return publish_step::read_row;
    default:
        return publish_step::failed;
    }
}

publish_step after_read(const publish_plan& plan, const published_row& row)
{
    if (row.record) {
        const auto& previous = row.record->previous_ids;
        const bool is_current =
            row.record->id == plan.record.id && row.record->digest == plan.record.digest;
        const bool was_superseded =
            std::find(previous.begin(), previous.end(), plan.record.id) != previous.end();
        if (is_current || was_superseded) {
            return publish_step::published;
        }
    }
    // Row versions of two eras cannot be compared.
    if (row.store_era != plan.store_era) {
        return publish_step::plan_again;
    }
    // A write without a reply may still reach the store. It and its retry expect the same row
    // version, so at most one of them takes effect.
    return row.row_version == plan.expected_row_version ? publish_step::write_row
                                                        : publish_step::conflict;
}

bool is_same_or_earlier(const published_row& before, const published_row& now)
{
    if (!now.record || !before.record) {
        return !now.record;
    }
    const auto& earlier = before.record->previous_ids;
    return now.record->version == before.record->version || now.record->id == before.record->id ||
           std::find(earlier.begin(), earlier.end(), now.record->id) != earlier.end();
}

publish_conflict describe_conflict(base::document_version in_force, std::string_view edited_from,
                                   std::string_view in_force_text, std::string_view wanted)
{
    publish_conflict conflict;
    conflict.in_force = in_force;
    conflict.changed_by_others = changed_paths(edited_from, in_force_text);
    for (const auto& path : changed_paths(edited_from, wanted)) {
        if (overlaps(path, conflict.changed_by_others)) {
            conflict.changed_by_both.push_back(path);
        }
    }
    return conflict;
}

store_state compare(const publication& row, base::document_version version, std::string_view digest)
{
    if (row.version != version) {
        return row.version < version ? store_state::older : store_state::newer;
    }
    return row.digest == digest ? store_state::same : store_state::diverged;
}

} // namespace snipeshore::documents
