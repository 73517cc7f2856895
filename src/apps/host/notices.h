/// @file Notices that this host makes or hears, see `fleet::bulletin`.
#pragma once

#include "base/time.h"
#include "fleet/types/exchange.h"
#include "fleet/types/notice.h"

#include <vector>

namespace snipeshore::apps {

struct host_context;

/// Tells the other hosts soon.
void publish(host_context& context, const std::vector<fleet::notice>& made);

/// Applies what a message of another host tells.
void apply_notices(host_context& context, const fleet::exchange_message& message,
                   base::time_point now);

} // namespace snipeshore::apps
