/// @file Inner addresses of other entry processes.
#pragma once

#include "apps/common/fleet_state.h"

#include <string>
#include <vector>

namespace snipeshore::apps {

/// Returns the inner address of a host's entry process, from the member list or else from the
/// configuration. Empty if the host is unknown.
std::string entry_inner_address(const fleet_state& fleet, const base::host_id& host);

/// Returns the inner addresses of the entry processes of all other members that are not marked as
/// dead.
std::vector<std::string> other_entry_addresses(const fleet_state& fleet, const base::host_id& self);

} // namespace snipeshore::apps
