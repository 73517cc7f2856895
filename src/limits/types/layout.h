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

/// What the configuration document says about shares.
struct layout {
    base::document_version version;
    std::vector<entry_host> hosts;
    std::vector<account_limit> accounts;
};

/// Part of an account's rate and burst.
struct share {
    double rate = 0;  ///< Requests per second.
    double burst = 0; ///< Requests.
};

/// Version of the configuration that a host reported as in force in its entry process.
struct host_version {
    base::host_id host;
    base::document_version version;
};

/// What is known about other hosts, for changes of the layout.
struct fleet_view {
    /// Last known version of every host, except of hosts that are marked dead and not listed. A
    /// dead host that stays in here with an older version would block each later layout.
    std::vector<host_version> in_force;
    bool listed_known = false;         ///< False until the platform's host list was read once.
    std::vector<base::host_id> listed; ///< Hosts on the platform's list, live or leaving.
};

} // namespace snipeshore::limits
