#include "documents/replica.h"

#include "documents/text.h"

#include <utility>

namespace snipeshore::documents {

namespace {

// Every patch costs one read from the store; above this number, reading the text is cheaper.
constexpr std::uint64_t max_patch_reads = 8;

void trim_history(replica& current, const replica_limits& limits)
{
    while (current.history.size() > limits.max_patches ||
           current.history_bytes > limits.max_patch_bytes) {
        current.history_bytes -= current.history.front().patch.size();
        current.history.pop_front();
    }
}

install_outcome install_text(replica& current, const update& offered, const replica_limits& limits)
{
    if (offered.text.size() > limits.max_text_bytes || !is_json(offered.text)) {
        return install_outcome::invalid;
    }
    std::string digest = digest_of(offered.text);
    if (!offered.digest.empty() && offered.digest != digest) {
        return install_outcome::invalid;
    }
    current = {offered.version, offered.text, std::move(digest), {}, 0};
    return install_outcome::installed;
}

install_outcome install_patches(replica& current, const update& offered,
                                const replica_limits& limits)
{
    const std::uint64_t held = current.version.value();
    const std::uint64_t first = offered.base_version.value();
    const bool consecutive = first <= offered.version.value() &&
                             offered.version.value() - first == offered.patches.size();
    // Only the digest reveals patches that were made from a different text with the same version.
    if (!consecutive || held == 0 || first > held || offered.digest.empty()) {
        return install_outcome::needs_text;
    }
    const std::size_t known = held - first;
    const std::vector<std::string_view> chain(
        offered.patches.begin() + static_cast<std::ptrdiff_t>(known), offered.patches.end());
    auto text = apply_patches(current.text, chain);
    if (!base::is_ok(text) || base::value_of(text).size() > limits.max_text_bytes ||
        digest_of(base::value_of(text)) != offered.digest) {
        return install_outcome::needs_text;
    }
    for (std::size_t index = known; index < offered.patches.size(); ++index) {
        current.history.push_back({first + index + 1, offered.patches[index]});
        current.history_bytes += offered.patches[index].size();
    }
    current.version = offered.version;
    current.text = std::move(base::value_of(text));
    current.digest = offered.digest;
    trim_history(current, limits);
    return install_outcome::installed;
}

} // namespace

install_outcome install(replica& current, const update& offered, const replica_limits& limits)
{
    if (offered.version <= current.version) {
        const bool differs = offered.version == current.version && !offered.digest.empty() &&
                             offered.digest != current.digest;
        return differs ? install_outcome::conflicting : install_outcome::not_newer;
    }
    return offered.patches.empty() ? install_text(current, offered, limits)
                                   : install_patches(current, offered, limits);
}

std::optional<update> update_since(const replica& current, base::document_version held)
{
    if (held >= current.version) {
        return std::nullopt;
    }
    update offered{current.version, held, current.digest, {}, {}};
    const std::size_t missing = current.version.value() - held.value();
    if (missing <= current.history.size()) {
        std::size_t bytes = 0;
        for (std::size_t index = current.history.size() - missing; index < current.history.size();
             ++index) {
            bytes += current.history[index].patch.size();
            offered.patches.push_back(current.history[index].patch);
        }
        if (bytes < current.text.size()) {
            return offered;
        }
        offered.patches.clear();
    }
    offered.base_version = base::document_version(0);
    offered.text = current.text;
    return offered;
}

bool should_fetch_patches(base::document_version held, base::document_version wanted)
{
    return held.value() > 0 && wanted > held && wanted.value() - held.value() <= max_patch_reads;
}

} // namespace snipeshore::documents
