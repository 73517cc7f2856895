/// @file State of the fleet as a program received it from its host's agent.
#pragma once

#include "apps/common/key_directory.h"
#include "base/time.h"
#include "config/types/document.h"
#include "config/types/drains_document.h"
#include "inner/types/messages.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace snipeshore::apps {

/// Documents, members and steering weights that this process currently uses.
struct fleet_state {
    std::uint64_t config_version = 0;
    std::shared_ptr<const config::document> config;
    std::uint64_t keys_version = 0;
    key_directory keys;
    std::uint64_t drains_version = 0;
    config::drains_document drains;
    std::vector<inner::host_record> members;
    std::uint64_t members_revision = 0;
    std::vector<inner::site_weights> weights;
    std::uint64_t steering_revision = 0;
    bool listed_known = false; ///< Whether the agent has read the platform's host list.
    std::vector<base::host_id> listed_hosts;
    /// Time of the agent's last contact with the store or with another failure domain.
    base::time_point last_contact{};
};

/// Parts of the fleet state that a snapshot changed.
struct fleet_changes {
    bool config = false;
    bool keys = false;
    bool drains = false;
    bool members = false; ///< Also set when the platform's host list changed.
    bool weights = false;
};

/// Returns the record of a host, or null if the host is not a member.
const inner::host_record* find_member(const fleet_state& fleet, const base::host_id& host);

/// Whether a drain names this host or target itself. Drains of failure domains and regions are
/// handled by steering, which moves their traffic away within the shift cap; until it has moved,
/// their hosts and targets continue to serve it.
bool is_drained(const fleet_state& fleet, config::drain_kind kind, const std::string& id);

} // namespace snipeshore::apps
