/// @file One difference between two documents.
#pragma once

#include <optional>
#include <string>

namespace snipeshore::config {

struct change {
    /// Like a JSON pointer, but list items are named by their identifier instead of their index.
    std::string path;
    std::optional<std::string> before; ///< Value as JSON; empty if the item was added.
    std::optional<std::string> after;  ///< Value as JSON; empty if the item was removed.
};

} // namespace snipeshore::config
