/// @file Errors on the wire: the kind travels by name in the description of an RPC exception.
#pragma once

#include "base/types/error.h"

#include <kj/exception.h>

namespace snipeshore::inner {

kj::Exception to_exception(const base::error& failure);

/// An exception that no process of the fleet made becomes `overloaded`, `peer_unavailable`,
/// `not_found` or `internal`, by its type.
base::error to_error(const kj::Exception& exception);

} // namespace snipeshore::inner
