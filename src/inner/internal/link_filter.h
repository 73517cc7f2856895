/// @file Simulated network partition for tests.
#pragma once

#include <functional>
#include <string>

namespace snipeshore::inner {

/// Used only on the event loop's thread.
struct link_filter {
    std::function<bool(const std::string&)> is_blocked;

    bool blocks(const std::string& address) const
    {
        return is_blocked && !address.empty() && is_blocked(address);
    }
};

} // namespace snipeshore::inner
