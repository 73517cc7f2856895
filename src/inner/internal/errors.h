/// @file Conversion between errors and RPC exceptions. The description of an exception contains the
/// name of the error kind.
#pragma once

#include "base/types/error.h"

#include <kj/exception.h>

namespace snipeshore::inner {

kj::Exception to_exception(const base::error& failure);

/// The type of an exception that contains no known error kind, such as one from the RPC library,
/// determines the kind: `overloaded`, `peer_unavailable`, `not_found` or `internal`.
base::error to_error(const kj::Exception& exception);

} // namespace snipeshore::inner
