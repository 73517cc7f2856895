#include "apps/ctl/publication.h"

#include "documents/publishing.h"
#include "documents/text.h"

#include <algorithm>
#include <utility>

namespace snipeshore::apps {

namespace {

bool is_in_force(const documents::published_row& row, const publish_order& order)
{
    // A version at or below `above` loses against the fleet's and has to be published again.
    if (!row.record || version_of(row) <= order.above) {
        return false;
    }
    const auto text = documents::canonical_text(order.text_for(version_of(row)));
    return base::is_ok(text) && documents::digest_of(base::value_of(text)) == row.record->digest;
}

} // namespace

std::uint64_t version_of(const documents::published_row& row)
{
    return row.record ? row.record->version.value() : 0;
}

base::result<documents::published_row> read_state(const store::row& row)
{
    documents::published_row state;
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
plan_publication(const documents::published_row& row, const publish_order& order,
                 std::string_view base_text, std::uint64_t taken_version,
                 const std::string& publication_id)
{
    if (is_in_force(row, order)) {
        return publish_outcome::already_in_force;
    }
    if (order.base && *order.base != version_of(row)) {
        return publish_outcome::conflict;
    }
    const base::document_version fleet(order.above);
    const base::document_version highest = documents::highest_version(row, fleet);
    const std::uint64_t skip = std::max(highest.value(), taken_version) - highest.value();
    const documents::publish_request request{publication_id, highest,
                                             order.text_for(highest.value() + 1 + skip)};
    // The text in force is not that of the fleet's higher version, so no patch leads from it.
    const bool is_base_of_patch = version_of(row) == highest.value();
    auto plan = documents::plan_publish(request, row, fleet,
                                        is_base_of_patch ? base_text : std::string_view(), skip);
    if (!base::is_ok(plan)) {
        return publish_outcome::malformed;
    }
    return std::move(base::value_of(plan));
}

row_verdict judge_row(const documents::published_row& read, const documents::publish_plan& plan)
{
    switch (documents::after_read(plan, read)) {
    case documents::publish_step::published:
        return row_verdict::in_force;
    case documents::publish_step::write_row:
        return row_verdict::not_written;
    default:
        break;
    }
    return read.row_version < plan.expected_row_version ? row_verdict::unclear
                                                        : row_verdict::overtaken;
}

} // namespace snipeshore::apps
