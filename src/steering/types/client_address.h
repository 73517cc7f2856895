/// @file IP address of a caller.
#pragma once

#include <array>
#include <cstdint>

namespace snipeshore::steering {

/// IPv4 addresses, including those mapped into IPv6 (`::ffff:a.b.c.d`), are stored in the first
/// four bytes.
struct client_address {
    bool is_ipv4 = true;
    std::array<std::uint8_t, 16> bytes{};

    friend bool operator==(const client_address&, const client_address&) = default;
};

} // namespace snipeshore::steering
