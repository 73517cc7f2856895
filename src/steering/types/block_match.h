/// @file Result of matching a caller's address against the client blocks.
#pragma once

#include <cstdint>

namespace snipeshore::steering {

/// The longest client block that contains an address.
struct block_match {
    std::uint16_t site = 0;  ///< Index in `plan::sites`.
    std::uint32_t salt = 0;  ///< Hash of the block's CIDR; independent of its position.
    std::uint32_t block = 0; ///< Index in `document::client_blocks`.
};

} // namespace snipeshore::steering
