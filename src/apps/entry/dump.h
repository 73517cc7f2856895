/// @file State dump and metrics of an entry process.
#pragma once

#include "base/time.h"

#include <nlohmann/json_fwd.hpp>

namespace snipeshore::telemetry {
class metrics;
}

namespace snipeshore::apps {

struct entry_services;

nlohmann::json dump_entry(const entry_services& services, base::time_point last_agent_response);

void refresh_entry_metrics(const entry_services& services, telemetry::metrics& metrics);

} // namespace snipeshore::apps
