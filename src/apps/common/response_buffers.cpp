#include "apps/common/response_buffers.h"

#include <algorithm>

namespace snipeshore::apps {

namespace {

/// Large enough to keep a fast caller's connection busy until the target is resumed.
constexpr std::size_t max_bytes_per_response = 256U << 10U;

/// A response may take this part of the free capacity, so that some is left for further ones.
constexpr std::size_t free_parts = 8;

} // namespace

std::size_t limit_per_response(const response_buffers& buffers)
{
    const std::size_t free = buffers.capacity - std::min(buffers.capacity, buffers.used);
    return std::min(max_bytes_per_response, free / free_parts);
}

} // namespace snipeshore::apps
