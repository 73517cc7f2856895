/// @file What the end of a call to a target tells about the target's process.
#pragma once

#include "base/result.h"

#include <cstdint>

namespace snipeshore::retries {

enum class liveness : std::uint8_t {
    running, ///< It answered.
    ended,   ///< Its address accepted no new connection.
    unknown, ///< A connection that broke may have been opened before the process ended, or closed
             ///< by a process that goes on running. A target without an answer may only be slow.
};

/// Judges a call by its outcome.
liveness liveness_after(const base::status& outcome);

} // namespace snipeshore::retries
