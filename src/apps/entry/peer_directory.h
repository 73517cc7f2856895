/// @file Inner addresses of other entry processes.
#pragma once

#include "apps/common/fleet_state.h"

#include <string>
#include <vector>

namespace snipeshore::apps {

/// Address of a host's entry process for inner calls; from the members, else from the
/// configuration; empty if the host is unknown.
std::string entry_inner_address(const fleet_state& fleet, const base::host_id& host);

/// Addresses of all other entry processes that are not known to be dead.
std::vector<std::string> other_entry_addresses(const fleet_state& fleet, const base::host_id& self);

} // namespace snipeshore::apps
