/// @file Exit codes of snipeshorectl. They are a stable interface for scripts.
#pragma once

#include <cstdint>

namespace snipeshore::apps {

enum class exit_code : std::uint8_t {
    success = 0,
    usage = 1,       ///< The command line or a setting is wrong.
    invalid = 2,     ///< A document has problems.
    conflict = 3,    ///< Another publication came first.
    unavailable = 4, ///< The store is unavailable; nothing was changed.
    unknown = 5,     ///< The change may have taken effect or take effect later.
    not_found = 6,   ///< The key, drain, account or other item does not exist.
    differs = 7,     ///< `diff` found differences.
    unreachable = 8, ///< At least one admin address did not respond.
};

} // namespace snipeshore::apps
