/// @file Parsing and comparison of the textual addresses in configuration documents.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace snipeshore::config {

/// Block of addresses. IPv4 blocks are stored as IPv4-mapped IPv6 blocks (`::ffff:0:0/96`).
struct address_block {
    std::array<std::uint8_t, 16> first{};
    unsigned prefix_bits = 0; ///< 0 to 128; an IPv4 block has at least 96.

    friend bool operator==(const address_block&, const address_block&) = default;
};

/// Parses "address/bits". Returns nothing if the text is malformed, if host bits are set or if an
/// IPv4 block is written in IPv6 form.
std::optional<address_block> parse_block(std::string_view text);

/// Whether `outer` contains every address of `inner`.
bool contains(const address_block& outer, const address_block& inner);

/// Whether the text is "ip:port" or "[ipv6]:port" with a port above 0.
bool is_ip_port(std::string_view text);

} // namespace snipeshore::config
