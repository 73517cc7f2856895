/// @file State from which the lookup program answers look-ups, derived from the fleet state.
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

/// Rebuilt when the configuration changes; `set_weights` and `set_hosts` update parts of it.
struct lookup_table {
    steering::plan plan;
    steering::block_table blocks;
    steering::weight_table weights;
    std::vector<bool> has_weights; ///< Per row; look-ups for a row without weights fail.
    steering::entry_hosts hosts;
    std::vector<std::uint64_t> demand; ///< Look-ups per row since the last report.
    std::unordered_map<std::string, std::size_t> service_index;
    std::uint16_t default_site = 0; ///< For callers that are not in a client block.
};

/// Builds a table with the plan and the client blocks of a document, without weights and hosts.
base::result<lookup_table> make_lookup_table(const config::document& document,
                                             const base::failure_domain_id& own_domain);

void set_weights(lookup_table& table, const std::vector<inner::site_weights>& weights);

/// Sets the hosts that look-ups may return: live hosts with a running entry process that are not
/// drained.
void set_hosts(lookup_table& table, const fleet_state& fleet);

struct lookup_result {
    std::size_t member = 0; ///< Index in `fleet_state::members`.
    std::uint16_t domain = 0;
    std::uint16_t site = 0;
};

/// Chooses the entry host for a caller and counts the look-up as demand. `draw` is a uniformly
/// distributed random number, new for each look-up.
base::result<lookup_result> choose_entry_host(lookup_table& table, std::string_view service,
                                              const std::optional<steering::client_address>& caller,
                                              std::uint16_t draw);

} // namespace snipeshore::apps
