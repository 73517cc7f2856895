/// @file Units of rates and sizes.
#pragma once

#include "base/types/strong_type.h"

#include <cstdint>

namespace snipeshore::base {

/// Requests per second.
using request_rate = strong_type<struct request_rate_tag, double>;

/// Number of requests, also fractions of one (tokens of a bucket).
using request_count = strong_type<struct request_count_tag, double>;

/// Bits per second on a link.
using bit_rate = strong_type<struct bit_rate_tag, std::uint64_t>;

/// Size in bytes.
using byte_count = strong_type<struct byte_count_tag, std::uint64_t>;

} // namespace snipeshore::base
