/// @file Error type: the kind of an error and a description of its place and cause.
#pragma once

#include "base/types/error_kind.h"

#include <string>

namespace snipeshore::base {

/// `detail` describes the place and the cause of the error for a reader. It must not contain a key
/// or another secret.
struct error {
    error_kind kind = error_kind::internal;
    std::string detail;
};

} // namespace snipeshore::base
