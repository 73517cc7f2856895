/// @file Limits that targets name in their responses: what this host hears of them, and its shares.
#pragma once

#include "base/time.h"
#include "base/types/ids.h"
#include "fleet/types/notice.h"

#include <optional>
#include <string_view>

namespace snipeshore::apps {

struct host_context;
struct pooled_target;

/// Applies the header of a target's response; `named` is empty if the response names no limit.
void apply_limit_header(host_context& context, pooled_target& target,
                        std::optional<std::string_view> named, base::time_point now);

/// Applies what another host has heard from the target.
void apply_limit_notice(host_context& context, const fleet::notice& heard, base::time_point now);

/// Adapts the shares to the known hosts, and ends limits of which nothing was heard for long.
void update_limit_shares(host_context& context, base::time_point now);

} // namespace snipeshore::apps
