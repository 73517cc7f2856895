/// @file Mutual TLS between the processes of the fleet.
#pragma once

#include "base/result.h"

#include <kj/async-io.h>
#include <kj/compat/tls.h>
#include <kj/timer.h>

namespace snipeshore::inner {

struct node_settings;

/// Name that every certificate of the fleet carries as a DNS subject alternative name. Hosts are
/// replaced at any address, so certificates are not bound to addresses.
inline constexpr const char* tls_peer_name = "inner.snipeshore";

/// Null without certificates. All three files must be given, or none.
base::result<kj::Own<kj::TlsContext>> make_tls(const node_settings& settings, kj::Timer& timer);

} // namespace snipeshore::inner
