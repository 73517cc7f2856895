/// @file Targets of one service in one failure domain, and the entry hosts that share them.
#pragma once

#include "base/types/ids.h"

#include <cstdint>
#include <vector>

namespace snipeshore::balancing {

struct target_info {
    base::target_id id;
    std::uint32_t slots = 1;
    std::uint32_t connections = 1; ///< Connection limit for all entry hosts together.
    bool leaving = false;          ///< Draining or leaving; gets no new requests.
};

struct target_set {
    std::vector<target_info> targets;
    std::vector<base::host_id> entry_hosts; ///< All of the failure domain, including `self`.
    base::host_id self;
};

} // namespace snipeshore::balancing
