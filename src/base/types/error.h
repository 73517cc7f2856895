/// @file An error with its kind and the place and cause in words.
#pragma once

#include "base/types/error_kind.h"

#include <string>

namespace snipeshore::base {

/// `detail` names the place and the cause; it never contains a key or another secret.
struct error {
    error_kind kind = error_kind::internal;
    std::string detail;
};

} // namespace snipeshore::base
