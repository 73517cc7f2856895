/// @file Weights of failure domains per site and service.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace snipeshore::steering {

/// The whole of a row's traffic.
inline constexpr std::uint32_t full_weight = 65536;

/// Weights of a row add up to `full_weight`, or to less when the rest is refused.
struct weight_table {
    std::size_t domains = 0;
    std::vector<std::uint32_t> weights; ///< `row * domains + domain`

    std::uint32_t* row(std::size_t index)
    {
        return weights.data() + index * domains;
    }
    const std::uint32_t* row(std::size_t index) const
    {
        return weights.data() + index * domains;
    }
};

} // namespace snipeshore::steering
