/// @file Counts the heap bytes that a benchmark program has allocated.
#pragma once

#include <cstddef>

namespace snipeshore::bench_models {

/// Returns the bytes currently allocated by `new`, including the rounding to the allocator's size
/// classes.
std::size_t live_bytes();

} // namespace snipeshore::bench_models
