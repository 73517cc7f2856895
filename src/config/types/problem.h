/// @file A fault found in a document.
#pragma once

#include <string>

namespace snipeshore::config {

struct problem {
    std::string pointer; ///< JSON pointer of the value; "" is the whole document.
    std::string value; ///< The value as JSON or its size, truncated; "missing" when there is none.
    std::string expected; ///< Description of the accepted values.
};

} // namespace snipeshore::config
