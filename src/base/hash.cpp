#include "base/hash.h"

#include <xxhash.h>

namespace snipeshore::base {

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t rendezvous_weight(std::string_view item, std::string_view candidate)
{
    return stable_hash(candidate, stable_hash(item));
}

} // namespace snipeshore::base
