/// @file Structs of the document that lists planned drains. Field names equal the JSON names.
#pragma once

#include "base/types/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace snipeshore::config {

enum class drain_kind : std::uint8_t { host, target, failure_domain, region };

struct drain {
    drain_kind kind = drain_kind::host;
    std::string id;
    base::document_version since_version;
};

struct drains_document {
    std::vector<drain> drains;
};

} // namespace snipeshore::config
