/// @file Non-cryptographic hashing for placement decisions; unsuitable for secrets.
#pragma once

#include <cstdint>
#include <string_view>

namespace snipeshore::base {

/// 64-bit hash that is the same on every host and in every release.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

/// Weight of `candidate` in rendezvous hashing of `item` over a set of candidates.
std::uint64_t rendezvous_weight(std::string_view item, std::string_view candidate);

} // namespace snipeshore::base
