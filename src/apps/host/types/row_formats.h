/// @file Formats of the platform's rows and of callers' look-ups.
#pragma once

#include "apps/host/types/target_entry.h"
#include "base/result.h"
#include "routing/types/route_table.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipeshore::apps {

struct row_formats {
    std::string operator_table; ///< Written by operators: configuration and drains.
    std::string target_table;   ///< Written by targets about themselves.
    std::string host_table;     ///< Written by the hosts of the system.
    std::string evidence_table; ///< Written by the hosts, see `evidence_store`.
    std::string config_key;     ///< Key of the configuration in the operators' table.

    /// Errors: `document_invalid`.
    std::function<base::result<routing::route_table>(std::string_view text)> parse_routes;
    std::function<base::result<target_entry>(const std::string& key, std::string_view text)>
        parse_target;
    /// Failure domain that a row of the operators' table drains.
    std::function<std::optional<base::failure_domain_id>(const std::string& key)> drained_domain;

    /// Failure domain of the caller, from the query of a look-up.
    std::function<base::failure_domain_id(std::string_view query)> caller_domain;
    std::function<std::string(const std::vector<std::string>& addresses,
                              std::chrono::milliseconds ttl)>
        lookup_response;
};

} // namespace snipeshore::apps
