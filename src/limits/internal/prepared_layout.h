/// @file Layout with indexes for lookups.
#pragma once

#include "limits/types/layout.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace snipeshore::limits {

struct prepared_layout {
    base::document_version version;
    std::uint64_t hosts_revision = 0; ///< Layouts with an equal value have equal `hosts`.
    std::vector<entry_host> hosts;
    std::vector<std::vector<std::uint32_t>> domains; ///< Positions in `hosts`.
    std::unordered_set<base::host_id> host_set;
    std::unordered_map<base::account_id, share> limits; ///< Limits over all hosts.
};

std::shared_ptr<prepared_layout> prepare(const layout& source);

/// Positions of the account's homes, grouped by failure domain.
std::vector<std::uint32_t> homes_in(const prepared_layout& from, const base::account_id& account);

/// Share of `host` in the account's limits; no value if the layout does not contain the account.
std::optional<share> share_in(const prepared_layout& from, const base::account_id& account,
                              const base::host_id& host);

bool same_hosts(const prepared_layout& left, const prepared_layout& right);

/// Layout with the smaller limit of each account. Both layouts must have the same hosts.
std::shared_ptr<const prepared_layout> min_limits_of(const prepared_layout& left,
                                                     const prepared_layout& right);

} // namespace snipeshore::limits
