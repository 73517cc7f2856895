/// @file Entry hosts and account limits of one configuration version.
#pragma once

#include "base/types/ids.h"
#include "base/types/units.h"

#include <vector>

namespace snipeshore::limits {

struct entry_host {
    base::host_id id;
    base::failure_domain_id failure_domain;
};

struct account_limit {
    base::account_id account;
    base::request_rate rate;
    base::request_count burst;
};

/// Entry hosts and account limits from which the shares are computed.
struct layout {
    base::document_version version;
    std::vector<entry_host> hosts;
    std::vector<account_limit> accounts;
};

/// Share of an account's rate and burst.
struct share {
    double rate = 0;  ///< Requests per second.
    double burst = 0; ///< Requests.
};

/// Version of the configuration that a host reported as in force in its entry process.
struct host_version {
    base::host_id host;
    base::document_version version;
};

/// Known state of the other hosts, used while the layout changes.
struct fleet_view {
    /// Last known version of every host, except hosts that are marked dead and not listed: a dead
    /// host with an older version would block every later layout.
    std::vector<host_version> in_force;
    bool listed_known = false;         ///< False until the platform's host list has been read once.
    std::vector<base::host_id> listed; ///< Hosts on the platform's list, live or leaving.
};

} // namespace snipeshore::limits
