/// @file What two hosts tell each other in one exchange.
#pragma once

#include "base/types/ids.h"
#include "fleet/types/member.h"

#include <cstdint>
#include <map>
#include <string>

namespace snipeshore::fleet {

struct exchange_message {
    member from;
    /// Newest version known of each table that hosts share.
    std::map<std::string, std::uint64_t> versions;
    /// Requests that the sender would admit beyond its own share, by account.
    std::map<base::account_id, double> wanted;
    /// Requests that the sender gives the receiver out of its own share, by account.
    std::map<base::account_id, double> given;
};

} // namespace snipeshore::fleet
