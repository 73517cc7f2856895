#include "apps/ctl/publication.h"

#include "config/key_hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace snipeshore::apps {

using nlohmann::json;

std::string row_key(const std::string& document)
{
    return "documents/" + document;
}

std::string object_name(const std::string& document, std::uint64_t version)
{
    return row_key(document) + "/" + std::to_string(version);
}

std::string patch_name(const std::string& document, std::uint64_t version)
{
    return object_name(document, version) + ".patch";
}

std::string to_text(const publication& source)
{
    return json{{"version", source.version},
                {"digest", source.digest},
                {"publication_id", source.publication_id}}
        .dump();
}

std::optional<published_state> read_state(const platform::row& row)
{
    if (row.version == 0) {
        return published_state{};
    }
    try {
        const json value = json::parse(row.value);
        published_state state;
        state.row_version = row.version;
        state.current.version = value.at("version").get<std::uint64_t>();
        state.current.digest = value.at("digest").get<std::string>();
        state.current.publication_id = value.at("publication_id").get<std::string>();
        if (state.current.version != 0) {
            return state;
        }
    } catch (const json::exception&) {
        return std::nullopt;
    }
    return std::nullopt;
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
        config::digest(request.text_for(in_force)) == state.current.digest) {
        return publish_outcome::already_in_force;
    }
    if (request.base && *request.base != in_force) {
        return publish_outcome::conflict;
    }
    write_plan plan;
    plan.next.version = std::max({in_force, request.above, taken_version}) + 1;
    plan.text = request.text_for(plan.next.version);
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
    const json before = json::parse(base_text, nullptr, false);
    const json after = json::parse(plan.text, nullptr, false);
    if (before.is_discarded() || after.is_discarded()) {
        return std::nullopt;
    }
    return json::diff(before, after).dump();
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
