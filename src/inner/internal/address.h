/// @file Classification of network addresses.
#pragma once

#include "base/ip_port.h"

namespace snipeshore::inner {

bool is_loopback(const base::ip_port& address);

} // namespace snipeshore::inner
