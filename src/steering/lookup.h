/// @file Chooses the failure domain and the entry host for a caller.
#pragma once

#include "base/result.h"
#include "steering/types/block_match.h"
#include "steering/types/entry_hosts.h"
#include "steering/types/plan.h"
#include "steering/types/weight_table.h"

#include <cstddef>
#include <cstdint>

namespace snipeshore::steering {

struct lookup_choice {
    std::uint16_t domain = 0;
    std::uint32_t host = 0; ///< `entry_host::host`
};

/// Returns a table for the failure domains of the plan with all weights 0.
weight_table make_weight_table(const plan& plan);

/// Chooses the failure domain and the entry host for a look-up. `row` is `site * services +
/// service` and `salt` is the one of the caller's block. `draw` is a uniformly distributed random
/// number, new for each look-up: it selects the look-ups that are refused, so that a refusal does
/// not depend on the account. The failure domain depends only on the block and the weights
/// (weighted rendezvous hashing), so a small change of the weights moves few blocks. If the sum of
/// `weights` and `refused` of the row is below `full_weight`, the remainder is refused as well.
/// Fails with `region_full` if the look-up is refused, and with `not_ready` if the table has no
/// such row or the chosen failure domain has no live entry host.
base::result<lookup_choice> choose_entry(const weight_table& weights, std::size_t row,
                                         std::uint32_t salt, std::uint16_t draw,
                                         const entry_hosts& hosts);

} // namespace snipeshore::steering
