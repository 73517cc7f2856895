#include "documents/text.h"

#include "base/json_reader.h"

#include <nlohmann/json.hpp>
#include <sodium.h>

#include <algorithm>
#include <array>

namespace snipeshore::documents {

namespace {

constexpr std::size_t digest_bytes = 32;

base::error invalid(const std::string& what)
{
    return {base::error_kind::document_invalid, what};
}

nlohmann::json parse(std::string_view text)
{
    return base::parse_json_or_discard(text);
}

// Must match config::to_text: every publisher and replica must produce the same bytes.

std::string canonical(const nlohmann::json& document)
{
    return document.dump();
}

} // namespace

base::result<std::string> canonical_text(std::string_view text)
{
    const auto parsed = parse(text);
    if (parsed.is_discarded()) {
        return invalid("the text is not JSON");
    }
    return canonical(parsed);
}

std::string digest_of(std::string_view text)
{
    std::array<unsigned char, digest_bytes> hash{};
    crypto_generichash(hash.data(), hash.size(),
                       reinterpret_cast<const unsigned char*>(text.data()), text.size(), nullptr,
                       0);
    std::string hex(2 * digest_bytes + 1, '\0');
    sodium_bin2hex(hex.data(), hex.size(), hash.data(), hash.size());
    hex.pop_back();
    return hex;
}

bool is_json(std::string_view text)
{
    return !parse(text).is_discarded();
}

base::result<std::string> patch_between(std::string_view from, std::string_view to)
{
    const auto before = parse(from);
    const auto after = parse(to);
    if (before.is_discarded() || after.is_discarded()) {
        return invalid("the text is not JSON");
    }
    return nlohmann::json::diff(before, after).dump();
}

base::result<std::string> apply_patches(std::string_view text,
                                        const std::vector<std::string_view>& patches)
{
    auto document = parse(text);
    if (document.is_discarded()) {
        return invalid("the text is not JSON");
    }
    try {
        for (const auto patch : patches) {
            document = document.patch(base::parse_json(patch));
        }
    } catch (const nlohmann::json::exception& failure) {
        return invalid(std::string("a patch cannot be applied: ") + failure.what());
    }
    return canonical(document);
}

std::vector<std::string> changed_paths(std::string_view from, std::string_view to)
{
    const auto before = parse(from);
    const auto after = parse(to);
    std::vector<std::string> paths;
    if (before.is_discarded() || after.is_discarded()) {
        return paths;
    }
    for (const auto& operation : nlohmann::json::diff(before, after)) {
        paths.push_back(operation.at("path").get<std::string>());
    }
    std::sort(paths.begin(), paths.end());
    paths.erase(std::unique(paths.begin(), paths.end()), paths.end());
    return paths;
}

} // namespace snipeshore::documents
