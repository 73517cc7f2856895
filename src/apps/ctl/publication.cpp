#include "apps/ctl/publication.h"

#include "documents/publishing.h"
#include "documents/text.h"

#include <algorithm>
#include <utility>

namespace snipeshore::apps {

namespace {

bool is_in_force(const documents::published_row& row, const publication_request& request)
{
    // The fleet ignores a version at or below `above_version`, so the text has to be published
    // again. So does a text that was published before the store was restored: hosts may have a
    // lost version in force.
    if (!row.record || version_of(row) <= request.above_version ||
        row.record->version < documents::first_version(row.store_era)) {
        return false;
    }
    const auto text = documents::canonical_text(request.make_text(version_of(row)));
    return base::is_ok(text) && documents::digest_of(base::value_of(text)) == row.record->digest;
}

} // namespace

std::uint64_t version_of(const documents::published_row& row)
{
    return row.record ? row.record->version.value() : 0;
}

base::result<documents::published_row> parse_row(const store::row& row)
{
    documents::published_row state;
    state.store_era = row.era;
    if (row.version == 0) {
        return state;
    }
    auto record = documents::decode(row.value);
    if (!base::is_ok(record)) {
        return base::error_of(record);
    }
    state.row_version = row.version;
    state.record = std::move(base::value_of(record));
    return state;
}

std::variant<documents::publish_plan, publish_outcome>
plan_publication(const documents::published_row& row, const publication_request& request,
                 std::string_view base_text, std::uint64_t taken_version,
                 const std::string& publication_id)
{
    if (is_in_force(row, request)) {
        return publish_outcome::already_in_force;
    }
    if (request.base_version && *request.base_version != version_of(row)) {
        return publish_outcome::conflict;
    }
    const base::document_version fleet(request.above_version);
    const base::document_version highest = documents::highest_version(row, fleet);
    const std::uint64_t skip = std::max(highest.value(), taken_version) - highest.value();
    const documents::publish_request document_request{
        publication_id, highest,
        request.make_text(documents::next_version(row, fleet, skip).value())};
    // If the fleet has a higher version, its text is not the text in force and no patch can be
    // made.
    const bool is_base_of_patch = version_of(row) == highest.value();
    auto plan = documents::plan_publish(document_request, row, fleet,
                                        is_base_of_patch ? base_text : std::string_view(), skip);
    if (!base::is_ok(plan)) {
        return publish_outcome::malformed;
    }
    return std::move(base::value_of(plan));
}

write_result check_write_result(const documents::published_row& read,
                                const documents::publish_plan& plan)
{
    switch (documents::after_read(plan, read)) {
    case documents::publish_step::published:
        return write_result::in_force;
    case documents::publish_step::write_row:
        return write_result::not_written;
    case documents::publish_step::plan_again:
        return write_result::restored;
    default:
        break;
    }
    return read.row_version < plan.expected_row_version ? write_result::undetermined
                                                        : write_result::superseded;
}

} // namespace snipeshore::apps
