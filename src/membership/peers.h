/// @file Choice of the peers to exchange records with.
#pragma once

#include "membership/types/table.h"

#include <cstddef>
#include <random>
#include <string>
#include <vector>

namespace snipeshore::membership {

/// From the platform's lagging list of hosts.
struct seed {
    base::host_id host;
    base::failure_domain_id failure_domain;
    std::string agent_address;
};

struct peer_settings {
    std::size_t own_domain = 2;
    std::size_t other_domains = 1;
    /// One round in this many also tries a host that is marked dead or only listed, so that the
    /// parts of a fleet that marked each other dead find each other again.
    unsigned retry_one_in = 8;
};

/// Agent addresses, without duplicates. Seeds are used only where the table knows too few hosts,
/// and for the occasional retry.
std::vector<std::string> choose_peers(const table& members, const inner::host_record& self,
                                      const std::vector<seed>& seeds, const peer_settings& settings,
                                      std::mt19937_64& random);

} // namespace snipeshore::membership
