#include "apps/common/key_directory.h"

#include "config/key_hash.h"

#include <algorithm>
#include <cctype>

namespace snipeshore::apps {

namespace {

constexpr std::string_view bearer_scheme = "bearer ";
constexpr std::size_t max_key_bytes = 256;

bool is_token_char(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return byte > 0x20 && byte < 0x7f;
}

} // namespace

key_directory make_key_directory(const config::keys_document& keys)
{
    key_directory directory;
    for (const config::key_grant& grant : keys.keys) {
        directory.accounts.emplace(grant.hash, grant.account);
    }
    return directory;
}

std::optional<base::account_id> account_of(const key_directory& directory, std::string_view secret,
                                           std::string_view key)
{
    const auto found = directory.accounts.find(config::hash_key(secret, key));
    if (found == directory.accounts.end()) {
        return std::nullopt;
    }
    return found->second;
}

std::string_view bearer_key(std::string_view header_value)
{
    if (header_value.size() <= bearer_scheme.size()) {
        return {};
    }
    for (std::size_t index = 0; index < bearer_scheme.size(); ++index) {
        if (std::tolower(static_cast<unsigned char>(header_value[index])) != bearer_scheme[index]) {
            return {};
        }
    }
    const std::string_view key = header_value.substr(bearer_scheme.size());
    const bool well_formed =
        key.size() <= max_key_bytes && std::all_of(key.begin(), key.end(), is_token_char);
    return well_formed ? key : std::string_view{};
}

} // namespace snipeshore::apps
