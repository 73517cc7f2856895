/// @file Bounds the response data that a process holds for callers, over all responses.
#pragma once

#include <cstddef>

namespace snipeshore::apps {

struct response_buffers {
    /// An eighth of the memory of a small entry host (260 MB).
    std::size_t capacity = 32U << 20U;
    std::size_t used = 0;
};

/// How much one response may buffer before its target is paused. A share of the free capacity:
/// however many callers stop reading, in whatever order, their buffers do not exceed the capacity.
std::size_t limit_per_response(const response_buffers& buffers);

} // namespace snipeshore::apps
