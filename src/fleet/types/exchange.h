/// @file Message that two hosts send each other in one exchange.
#pragma once

#include "base/types/ids.h"
#include "fleet/types/member.h"
#include "fleet/types/notice.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace snipeshore::fleet {

/// Report of a target that crashed while it ran requests.
struct crash_report {
    std::uint64_t crash = 0; ///< Sequence number at the reporting host.
    base::target_id target;
    std::vector<std::uint64_t> fingerprints; ///< Fingerprints of the requests it ran.
};

struct exchange_message {
    member from;
    /// Newest version that the sender knows of each shared table.
    std::map<std::string, std::uint64_t> versions;
    /// Era of each version, see `rows::page::era`; tables without eras are missing.
    std::map<std::string, std::uint64_t> eras;
    /// Tokens that the sender requests in addition to its own share, by account.
    std::map<base::account_id, double> wanted;
    /// Tokens that the sender grants the receiver from its own share, by account.
    std::map<base::account_id, double> granted;
    /// Reports of hosts of earlier versions, which sent no notices.
    std::vector<crash_report> crashes;
    std::vector<told_notice> notices;
    /// Requests per slot on the targets of the sender's failure domain, by service.
    std::map<base::service_id, double> loads;
};

} // namespace snipeshore::fleet
