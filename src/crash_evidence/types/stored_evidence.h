/// @file What one process keeps in the store about requests that crash their targets.
#pragma once

#include "base/time.h"
#include "fleet/bulletin.h"

#include <map>
#include <optional>
#include <string>

namespace snipeshore::crash_evidence {

struct stored_evidence {
    fleet::bulletin notices; ///< What this process has found out itself.
    /// Requests of which rows of the store tell, and until when.
    std::map<std::string, base::time_point> stored_requests;
    /// When the row has to be written; unset if it is up to date.
    std::optional<base::time_point> write_by;
    bool has_row = false; ///< A row was sent to the store.
};

} // namespace snipeshore::crash_evidence
