/// @file Selection of the peers to exchange records with.
#pragma once

#include "membership/types/table.h"

#include <cstddef>
#include <random>
#include <string>
#include <vector>

namespace snipeshore::membership {

/// Host from the platform's host list, which may be outdated.
struct seed {
    base::host_id host;
    base::failure_domain_id failure_domain;
    std::string agent_address;
};

struct peer_settings {
    std::size_t own_domain = 2;
    std::size_t other_domains = 1;
    /// One of this many rounds, on average, also tries a host that is marked dead or only listed,
    /// so that parts of the fleet that marked each other dead reconnect.
    unsigned retry_one_in = 8;
};

/// Returns agent addresses without duplicates. Seeds are used only if the table has too few hosts,
/// and for the occasional retry.
std::vector<std::string> choose_peers(const table& members, const inner::host_record& self,
                                      const std::vector<seed>& seeds, const peer_settings& settings,
                                      std::mt19937_64& random);

} // namespace snipeshore::membership
