/// @file Validation of response heads before h2o reads them: h2o 2.2.5 aborts the process on a
/// transfer-encoding or content-length that it does not support, drops folded header lines and does
/// not limit the size of a head.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace snipeshore::http {

/// Value of a content-length; empty if it is not a number that h2o supports.
std::optional<std::uint64_t> parse_length(std::string_view text);

/// Description of an error in the head of a response, or in those of the interim responses before
/// it; empty if there is none in the bytes received so far.
std::string_view find_head_error(std::string_view bytes, std::size_t max_head_bytes);

} // namespace snipeshore::http
