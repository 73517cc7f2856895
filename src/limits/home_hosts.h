/// @file Home hosts of an account: entry hosts that own a fixed share of its rate and burst.
#pragma once

#include "base/types/ids.h"
#include "limits/types/layout.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace snipeshore::limits {

/// Home hosts per account and failure domain; one of them can fail.
inline constexpr std::size_t homes_per_failure_domain = 2;

/// Positions in `hosts` of the account's homes, by rendezvous hashing in each failure domain.
/// The result depends only on the set of hosts, not on their order.
std::vector<std::uint32_t> home_positions(const base::account_id& account,
                                          std::span<const entry_host> hosts);

/// Share of each home.
share home_share(const account_limit& limit, std::size_t homes);

} // namespace snipeshore::limits
