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

/// Empty table with the failure domains of the plan.
weight_table make_weight_table(const plan& plan);

/// `row` is `site * services + service`. `draw` is a uniformly distributed number, new for each
/// look-up: it selects which look-ups are refused, so that a refusal does not depend on the
/// account. The failure domain depends only on block and weights (weighted rendezvous hashing), so
/// a small change of weights moves few blocks. If the sum of `weights` and `refused` is below
/// `full_weight`, the rest is refused as well. Fails with `region_full` for a refused look-up and
/// `not_ready` if the chosen failure domain has no live entry host.
base::result<lookup_choice> choose_entry(const weight_table& weights, std::size_t row,
                                         std::uint32_t salt, std::uint16_t draw,
                                         const entry_hosts& hosts);

} // namespace snipeshore::steering
