/// @file What the lookup program needs to answer, derived from the fleet state.
#pragma once

#include "apps/common/fleet_state.h"
#include "base/result.h"
#include "inner/types/messages.h"
#include "steering/block_table.h"
#include "steering/types/client_address.h"
#include "steering/types/entry_hosts.h"
#include "steering/types/plan.h"
#include "steering/types/weight_table.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace snipeshore::apps {

/// Rebuilt in parts when the configuration, the weights or the members change.
struct lookup_table {
    steering::plan plan;
    steering::block_table blocks;
    steering::weight_table weights;
    std::vector<bool> has_weights; ///< Per row; rows without weights are not answered.
    steering::entry_hosts hosts;
    std::vector<std::uint64_t> demand; ///< Look-ups per row since the last report.
    std::unordered_map<std::string, std::size_t> service_index;
    std::uint16_t default_site = 0; ///< For callers in no client block.
};

/// Builds plan and blocks of a document; weights and hosts are set by the functions below.
base::result<lookup_table> make_lookup_table(const config::document& document,
                                             const base::failure_domain_id& own_domain);

void set_weights(lookup_table& table, const std::vector<inner::site_weights>& weights);

/// Only live hosts with a running entry process that are not drained can be named.
void set_hosts(lookup_table& table, const fleet_state& fleet);

struct lookup_result {
    std::size_t member = 0; ///< Index in `fleet_state::members`.
    std::uint16_t domain = 0;
    std::uint16_t site = 0;
};

/// `draw` is a uniformly distributed number, new for each look-up. Counts the look-up as demand.
base::result<lookup_result> choose_entry_host(lookup_table& table, std::string_view service,
                                              const std::optional<steering::client_address>& caller,
                                              std::uint16_t draw);

} // namespace snipeshore::apps
