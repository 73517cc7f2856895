/// @file Known hosts of the fleet, from the view of one host.
#pragma once

#include "base/time.h"
#include "base/types/ids.h"

#include <cstdint>
#include <map>
#include <string>

namespace snipeshore::fleet {

enum class member_state : std::uint8_t { starting, ready, leaving };

struct member {
    base::host_id id;
    base::failure_domain_id failure_domain;
    std::string entry_address;   ///< Address for callers, "ip:port".
    std::string control_address; ///< Address for other hosts, "ip:port".
    base::incarnation incarnation;
    member_state state = member_state::starting;
    bool reads_store = true; ///< Its last call to the store, or to the host that reads the store
                             ///< for it, succeeded.
    bool reaches_targets = true; ///< It can open connections to targets.
    bool takes_relayed = true;   ///< Its version handles requests that other hosts relay.
};

struct known_member {
    member info;
    bool has_contact = false;
    base::time_point last_contact; ///< Time of the last message from the host itself.
    bool is_unlisted = false;      ///< Its row in the store has gone missing.
};

struct member_table {
    base::host_id self;
    base::failure_domain_id own_domain;
    std::map<base::host_id, known_member> members; ///< All known hosts except the own host.
};

} // namespace snipeshore::fleet
