/// @file Entry hosts that look-ups may return.
#pragma once

#include <cstdint>
#include <vector>

namespace snipeshore::steering {

/// An entry host that is live and not leaving.
struct entry_host {
    std::uint64_t key_hash = 0; ///< `base::stable_hash` of the host id.
    std::uint32_t host = 0; ///< Index of the host, as assigned by the code that builds the list.
};

/// The entry hosts of each failure domain of the plan.
using entry_hosts = std::vector<std::vector<entry_host>>;

} // namespace snipeshore::steering
