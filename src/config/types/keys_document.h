/// @file Structs of the document that lists valid keys. Field names equal the JSON names.
#pragma once

#include "base/types/ids.h"

#include <string>
#include <vector>

namespace snipeshore::config {

struct key_grant {
    std::string hash; ///< Result of `hash_key`; the key itself is not stored.
    base::account_id account;
    base::document_version granted_at_version;
};

struct keys_document {
    std::vector<key_grant> keys;
};

} // namespace snipeshore::config
