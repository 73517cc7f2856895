/// @file View of the hosts of the fleet at one host.
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
    base::time_point changed; ///< When the record last changed in this table.
};

struct table {
    std::map<base::host_id, member> members;
    /// Time of the last proof of life from a host of the domain: a record that only the host itself
    /// can write.
    std::map<base::failure_domain_id, base::time_point> domain_last_contact;
    std::uint64_t revision = 0; ///< Increases with each change.
};

struct table_limits {
    std::size_t max_members = 4096; ///< Four times the target size; further hosts are ignored.
    /// Retention of dead records. Longer than a network partition between regions (an hour), so
    /// that a host that still had a dead host as live during the partition cannot restore it.
    std::chrono::hours dead_retention{2};
    /// A domain without a proof of life for this long counts as unreachable. Covers several
    /// heartbeats and the exchange rounds that an update needs to reach all hosts at the target
    /// size.
    std::chrono::seconds domain_timeout{15};
};

/// Result of comparing the own record with a record of this host from others.
enum class self_check : std::uint8_t {
    agrees,
    refuted,    ///< The own record was raised above the received one and must be sent to others.
    superseded, ///< Another process runs under this host id; this process was replaced and must
                ///< stop.
};

} // namespace snipeshore::membership
