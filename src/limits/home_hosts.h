/// @file Home slots of an account: which entry hosts own a fixed part of its rate and burst.
#pragma once

#include "base/types/ids.h"
#include "limits/types/layout.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace snipeshore::limits {

/// Home hosts of an account in each failure domain, so that one of them can fail.
inline constexpr std::size_t homes_per_failure_domain = 2;

/// Positions in `hosts` of the account's homes, by rendezvous hashing in each failure domain.
/// The result depends on the set of hosts only, not on their order.
std::vector<std::uint32_t> home_positions(const base::account_id& account,
                                          std::span<const entry_host> hosts);

/// Part that each home owns.
share home_share(const account_limit& limit, std::size_t homes);

} // namespace snipeshore::limits
