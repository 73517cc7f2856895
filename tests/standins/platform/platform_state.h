/// @file State of the stand-in for the platform: table, objects, host list.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace snipeshore::standins {

struct table_row {
    std::string value;
    std::uint64_t version = 0; ///< Incremented by each write of the row.
};

/// JSON text of a host's record, without its id.
using host_json = std::string;

/// Change of the host list that listings do not show yet.
struct pending_host {
    base::time_point visible_at;
    std::string id;
    std::optional<host_json> record; ///< Empty if the host was removed.
};

struct platform_state {
    std::map<std::string, table_row> rows;
    std::map<std::string, std::string> objects;
    std::map<std::string, host_json> hosts;
    std::vector<pending_host> pending_hosts;
};

enum class write_outcome { written, unchanged, conflict };

/// Writes the row only if its version is `expected_version`; 0 requires that no row exists.
write_outcome put_row(platform_state& state, const std::string& key, std::uint64_t expected_version,
                      std::string value);

/// Objects are immutable: a write of other content under the same name is a conflict.
write_outcome put_object(platform_state& state, const std::string& name, std::string content);

/// Applies the pending changes of the host list that are visible at `now`.
void apply_pending_hosts(platform_state& state, base::time_point now);

} // namespace snipeshore::standins
