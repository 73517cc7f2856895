/// @file Applies what targets say of themselves: that they leave, or that they want a rest.
#pragma once

#include "base/time.h"

namespace snipeshore::fleet {
struct notice;
}

namespace snipeshore::http {
struct response_head;
}

namespace snipeshore::apps {

struct host_context;
struct pooled_target;

/// Reads the signals of a target's own response.
void apply_signals(host_context& context, pooled_target& target, const http::response_head& head,
                   base::time_point now);

/// Applies what another host has heard from a target.
void apply_leaving_notice(host_context& context, const fleet::notice& heard);

} // namespace snipeshore::apps
