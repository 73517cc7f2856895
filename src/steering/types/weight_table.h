/// @file Weights of failure domains per site and service.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace snipeshore::steering {

/// The whole of a row's traffic.
inline constexpr std::uint32_t full_weight = 65536;

/// A block belongs to one failure domain of its row, in proportion to `weights + refused`, which
/// add up to `full_weight`. Of the look-ups of the blocks at a failure domain the part `refused` is
/// refused. Refusing per failure domain leaves the blocks of the others where they are; a single
/// refused part of the row would redistribute them whenever one failure domain is lost.
struct weight_table {
    std::size_t domains = 0;
    std::vector<std::uint64_t> domain_keys; ///< `base::stable_hash` of the failure domain's id.
    std::vector<std::uint32_t> weights;     ///< `row * domains + domain`, admitted.
    std::vector<std::uint32_t> refused;     ///< Same index.
};

} // namespace snipeshore::steering
