#include "apps/ctl/publication.h"

#include "config/key_hash.h"
#include "documents/publishing.h"
#include "documents/text.h"

#include <algorithm>
#include <utility>

namespace snipeshore::apps {

namespace {

/// Hosts apply patches to the canonical form, so that is what is published.
std::string canonical(std::string text)
{
    auto form = documents::canonical_text(text);
    return base::is_ok(form) ? std::move(base::value_of(form)) : std::move(text);
}

} // namespace

std::string row_key(const std::string& document)
{
    return documents::row_key(document);
}

std::string object_name(const std::string& document, std::uint64_t version)
{
    return documents::text_object(document, base::document_version(version));
}

std::string patch_name(const std::string& document, std::uint64_t version)
{
    return documents::patch_object(document, base::document_version(version));
}

std::string to_text(const publication& source)
{
    return documents::encode(
        {base::document_version(source.version), source.digest, source.publication_id, {}});
}

std::optional<published_state> read_state(const platform::row& row)
{
    if (row.version == 0) {
        return published_state{};
    }
    const auto record = documents::decode(row.value);
    if (!base::is_ok(record) || base::value_of(record).version.value() == 0) {
        return std::nullopt;
    }
    const documents::publication& found = base::value_of(record);
    return published_state{row.version, {found.version.value(), found.digest, found.id}};
}

std::variant<write_plan, publish_outcome> plan_publication(const published_state& state,
                                                           const publish_request& request,
                                                           std::uint64_t taken_version,
                                                           const std::string& publication_id)
{
    const std::uint64_t in_force = state.current.version;
    // A version at or below `above` loses against the fleet's and has to be published again.
    const bool is_high_enough = in_force > request.above;
    if (in_force != 0 && is_high_enough &&
        config::digest(canonical(request.text_for(in_force))) == state.current.digest) {
        return publish_outcome::already_in_force;
    }
    if (request.base && *request.base != in_force) {
        return publish_outcome::conflict;
    }
    write_plan plan;
    plan.next.version = std::max({in_force, request.above, taken_version}) + 1;
    plan.text = canonical(request.text_for(plan.next.version));
    plan.next.digest = config::digest(plan.text);
    plan.next.publication_id = publication_id;
    plan.base_version = in_force;
    plan.expected_row_version = state.row_version;
    return plan;
}

std::optional<std::string> patch_text(const write_plan& plan, const std::string& base_text)
{
    // A replica applies the patch of version N to version N-1; other pairs need the whole text.
    if (plan.base_version == 0 || plan.next.version != plan.base_version + 1) {
        return std::nullopt;
    }
    auto patch = documents::patch_between(base_text, plan.text);
    if (!base::is_ok(patch)) {
        return std::nullopt;
    }
    return std::move(base::value_of(patch));
}

row_verdict judge_row(const published_state& read, const write_plan& plan)
{
    if (read.current.publication_id == plan.next.publication_id) {
        return row_verdict::in_force;
    }
    if (read.row_version == plan.expected_row_version) {
        return row_verdict::not_written;
    }
    if (read.row_version == plan.expected_row_version + 1) {
        return row_verdict::overtaken;
    }
    return row_verdict::unclear;
}

} // namespace snipeshore::apps
