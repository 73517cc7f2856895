/// @file What a host knows of the hosts of the fleet.
#pragma once

#include "base/time.h"
#include "base/types/ids.h"
#include "inner/types/messages.h"

#include <chrono>
#include <cstdint>
#include <map>

namespace snipeshore::membership {

struct member {
    inner::host_record record;
    base::time_point changed; ///< When this host last learned something new of it.
};

struct table {
    std::map<base::host_id, member> members;
    /// When a host of the domain last proved that it lives, by a record that only it can write.
    std::map<base::failure_domain_id, base::time_point> domain_last_contact;
    std::uint64_t revision = 0; ///< Grows with each change.
};

struct table_limits {
    std::size_t max_members = 4096; ///< Four times the target size; records beyond it are ignored.
    /// Longer than regions are cut off from each other (an hour), so that a host that kept the
    /// record of a dead one as live during that time cannot bring it back.
    std::chrono::hours dead_retention{2};
    /// A domain without news for this long counts as cut off: several beats, and the rounds that
    /// news needs to reach all hosts of the target size.
    std::chrono::seconds domain_timeout{15};
};

/// What a host does about a record of itself that came from others.
enum class self_check : std::uint8_t {
    agrees,
    refuted,    ///< The own record was raised above the one seen and must be sent to others.
    superseded, ///< Another process runs under this host id: this one was replaced and must stop.
};

} // namespace snipeshore::membership
