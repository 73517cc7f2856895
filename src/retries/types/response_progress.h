/// @file Progress of a target's response.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>

namespace snipeshore::retries {

/// Pauses in reading from the target, made while the caller accepts no more data.
struct reading_pauses {
    bool is_paused = false;
    bool was_paused = false;       ///< At any time since the response began.
    base::time_point resumed_at{}; ///< End of the last pause.
};

struct response_progress {
    std::optional<base::time_point> last_byte_at; ///< Empty: the response has not begun.
    reading_pauses pauses;
};

/// What delayed a response that was incomplete at its deadline.
enum class delay_cause : std::uint8_t {
    silent_target, ///< The target has stopped sending, or never began.
    slow_target,   ///< The target was still sending.
    slow_caller,   ///< The caller did not accept what the target sent.
};

} // namespace snipeshore::retries
