/// @file Mutual TLS between the processes of the fleet.
#pragma once

#include "base/result.h"

#include <kj/async-io.h>
#include <kj/compat/tls.h>
#include <kj/timer.h>

namespace snipeshore::inner {

struct node_settings;

/// DNS subject alternative name that every certificate of the fleet contains. A replacement host
/// may have any address, so certificates are not bound to addresses.
inline constexpr const char* tls_peer_name = "inner.snipeshore";

/// Returns null if no certificate files are set. Either all three files must be set or none.
base::result<kj::Own<kj::TlsContext>> make_tls_context(const node_settings& settings,
                                                       kj::Timer& timer);

} // namespace snipeshore::inner
