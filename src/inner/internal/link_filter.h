/// @file Test switch that behaves as a cut link.
#pragma once

#include <functional>
#include <string>

namespace snipeshore::inner {

/// Belongs to the event loop's thread.
struct link_filter {
    std::function<bool(const std::string&)> is_blocked;

    bool blocks(const std::string& address) const
    {
        return is_blocked && !address.empty() && is_blocked(address);
    }
};

} // namespace snipeshore::inner
