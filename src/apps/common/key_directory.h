/// @file Maps API keys to client accounts.
#pragma once

#include "base/types/ids.h"
#include "config/types/keys_document.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace snipeshore::apps {

/// Client accounts by the keyed hash of their keys. The keys themselves are not stored.
struct key_directory {
    std::unordered_map<std::string, base::account_id> accounts;
};

key_directory make_key_directory(const config::keys_document& keys);

/// Returns the client account of a key, or `nullopt` if the key is unknown or withdrawn.
std::optional<base::account_id> account_of(const key_directory& directory, std::string_view secret,
                                           std::string_view key);

/// Returns the key in an `Authorization: Bearer` header value; empty if the value is malformed.
std::string_view bearer_key(std::string_view header_value);

} // namespace snipeshore::apps
