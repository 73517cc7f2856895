/// @file What one start of a target has said of itself in its responses.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>

namespace snipeshore::signals {

struct target_signals {
    bool is_leaving = false; ///< Until the target ends or starts again.
    /// End of the rest that the target has asked for; unset if it has not asked for one since it
    /// last took requests at its full rate.
    std::optional<base::time_point> rests_until;
    /// When this host sends the first request after the rest, later than `rests_until` by a random
    /// part, so that hosts do not all return at the same moment.
    base::time_point returns_at{};
    /// Requests of this host that may be in progress at the target after a rest.
    std::uint32_t allowed = 0;
};

} // namespace snipeshore::signals
