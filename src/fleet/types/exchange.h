/// @file What two hosts tell each other in one exchange.
#pragma once

#include "base/types/ids.h"
#include "fleet/types/member.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace snipeshore::fleet {

/// A target ended while it ran requests.
struct crash_report {
    std::uint64_t crash = 0; ///< Counted by the reporting host.
    base::target_id target;
    std::vector<std::uint64_t> fingerprints; ///< Of the requests.
};

struct exchange_message {
    member from;
    /// Newest version known of each table that hosts share.
    std::map<std::string, std::uint64_t> versions;
    /// Requests that the sender would admit beyond its own share, by account.
    std::map<base::account_id, double> wanted;
    /// Requests that the sender gives the receiver out of its own share, by account.
    std::map<base::account_id, double> granted;
    std::vector<crash_report> crashes;
};

} // namespace snipeshore::fleet
