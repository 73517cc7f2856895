/// @file Entry hosts that look-ups may name.
#pragma once

#include <cstdint>
#include <vector>

namespace snipeshore::steering {

/// Live, not leaving entry hosts of one failure domain. `key_hash` is `base::stable_hash` of the
/// host id; `host` is the caller's own index of the host.
struct entry_host {
    std::uint64_t key_hash = 0;
    std::uint32_t host = 0;
};

/// Per failure domain of the plan.
using entry_hosts = std::vector<std::vector<entry_host>>;

} // namespace snipeshore::steering
