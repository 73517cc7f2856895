/// @file State of the agent as JSON.
#pragma once

#include <nlohmann/json_fwd.hpp>

namespace snipeshore::apps {

class agent_core;

nlohmann::json dump_agent(const agent_core& agent);

} // namespace snipeshore::apps
