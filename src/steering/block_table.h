/// @file Maps a client address to its site by longest-prefix match.
#pragma once

#include "base/result.h"
#include "config/types/document.h"
#include "steering/types/block_match.h"
#include "steering/types/client_address.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace snipeshore::steering {

/// Client blocks as sorted disjoint ranges: nested blocks are flattened at build time, so a match
/// is one binary search. Immutable after `build_block_table`; safe to read from several threads.
struct block_table {
    struct ipv6_start {
        std::uint64_t high = 0;
        std::uint64_t low = 0;

        friend bool operator<(const ipv6_start& left, const ipv6_start& right)
        {
            return left.high != right.high ? left.high < right.high : left.low < right.low;
        }
    };
    /// Start of a range and the block it belongs to, or `no_block`.
    struct ipv4_range {
        std::uint32_t start = 0;
        std::uint32_t block = 0;
    };

    std::vector<ipv4_range> ipv4;
    std::vector<std::uint32_t> ipv4_index; ///< Per upper 16 bits: range of the lowest such address.
    std::vector<ipv6_start> ipv6_starts;
    std::vector<std::uint32_t> ipv6_blocks;
    std::vector<std::uint16_t> sites; ///< Per block: index of its site.
    std::vector<std::uint32_t> salts; ///< Per block: see `block_match::salt`.
};

/// Marks a range that belongs to no block.
inline constexpr std::uint32_t no_block = UINT32_MAX;

/// Builds the table from `document::client_blocks`. Site indices are those of `document::sites`,
/// which are also those of `plan::sites`. Fails with `document_invalid` on more than 65535
/// sites, a malformed CIDR, bits set after the prefix, an unknown site, or the same block listed
/// with two sites.
base::result<block_table> build_block_table(const config::document& document);

/// Returns the longest block that contains the address, or nothing if no block does.
std::optional<block_match> match_block(const block_table& table, const client_address& address);

/// Parses an address such as "192.0.2.1" or "2001:db8::1".
std::optional<client_address> parse_client_address(std::string_view text);

/// Memory used by the table, in bytes.
std::size_t memory_of(const block_table& table);

} // namespace snipeshore::steering
