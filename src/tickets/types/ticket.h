/// @file Single-use ticket of a request that may run at most once.
#pragma once

#include "base/types/ids.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace snipeshore::tickets {

inline constexpr std::size_t ticket_id_bytes = 16;
inline constexpr std::size_t fleet_secret_bytes = 32;

using ticket_id = std::array<std::uint8_t, ticket_id_bytes>;
using fleet_secret = std::array<std::uint8_t, fleet_secret_bytes>;

struct ticket {
    ticket_id id{};
    base::host_id owner;
    base::incarnation owner_incarnation;
    std::uint64_t epoch = 0;
    base::account_id account;

    friend bool operator==(const ticket&, const ticket&) = default;
};

} // namespace snipeshore::tickets
