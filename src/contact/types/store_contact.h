/// @file What one host knows of its contact with the store.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace snipeshore::contact {

/// Distinguishes the open calls of a host; never used again.
using call_id = std::uint64_t;

/// A call that was sent to the store and has no response yet.
struct open_call {
    base::time_point sent{};
    base::time_point response_due{}; ///< Without a response by then the call counts as lost.
    /// It waits for a change or reads a whole table, so its duration says nothing of the store.
    bool has_own_time = false;
};

struct store_contact {
    std::map<call_id, open_call> calls;
    /// Since when calls are lost; unset while the store responds.
    std::optional<base::time_point> silent_since;
    base::time_point last_probe{};
    base::time_point next_probe{};
    /// Longest time of recent responses to calls without an own time; decays with each response.
    base::duration slowest_response{};
};

} // namespace snipeshore::contact
