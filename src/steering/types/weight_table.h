/// @file Weights of failure domains per site and service.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace snipeshore::steering {

/// Weight of all traffic of a row.
inline constexpr std::uint32_t full_weight = 65536;

/// Each client block is assigned to one failure domain of its row, in proportion to
/// `weights + refused`; these sum to `full_weight` over the row. Of the look-ups from the blocks
/// assigned to a failure domain, the fraction `refused / (weights + refused)` is refused. Refusals
/// are kept per failure domain so that the blocks of the other failure domains are not reassigned;
/// a single refused fraction per row would redistribute them whenever one failure domain is lost.
struct weight_table {
    std::size_t domains = 0;
    std::vector<std::uint64_t> domain_keys; ///< `base::stable_hash` of the failure domain's id.
    std::vector<std::uint32_t> weights; ///< Admitted traffic, at index `row * domains + domain`.
    std::vector<std::uint32_t> refused; ///< Same index.
};

} // namespace snipeshore::steering
