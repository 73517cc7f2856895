/// @file Counts the heap bytes of a bench program.
#pragma once

#include <cstddef>

namespace snipeshore::bench_models {

/// Bytes that are allocated now by `new`, with the overhead of the allocator's size classes.
std::size_t live_bytes();

} // namespace snipeshore::bench_models
