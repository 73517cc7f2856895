/// @file Decides when a host sends requests to a target that has asked for a rest, or that leaves.
#pragma once

#include "base/time.h"
#include "signals/types/target_signals.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace snipeshore::signals {

/// A rest that a target has asked for in a refusal.
struct rest_request {
    base::duration time{0};
    std::size_t hosts = 1;    ///< Hosts of the fleet, which may all return to the target.
    std::uint64_t random = 0; ///< Places this host's return among those of the others.
};

/// Records a rest. One that ends later holds on.
void ask_rest(target_signals& signals, const rest_request& rest, base::time_point now);

/// The target has taken a request and completed it. After a rest, each doubles the number of
/// requests that may be in progress, until the target's `slots` are reached.
void on_completed(target_signals& signals, std::uint32_t slots, base::time_point now);

/// Whether the host may send the target a request beside the `running` ones of this host.
bool may_send(const target_signals& signals, std::uint32_t running, base::time_point now);

/// When the target takes requests of this host again; empty if it does now, or leaves.
std::optional<base::time_point> return_time(const target_signals& signals, base::time_point now);

/// Delay for a caller whose request no target takes before `earliest` has passed: longer by a
/// random part, so that callers do not all return at the same moment.
base::duration spread_delay(base::duration earliest, std::uint64_t random);

} // namespace snipeshore::signals
