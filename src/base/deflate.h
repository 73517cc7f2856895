/// @file Compression of texts in the zlib format, the content coding "deflate" of HTTP.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace snipeshore::base {

std::string deflate(std::string_view text);

/// Returns the text; no value if the data are not a whole compressed text, or if the text is larger
/// than `max_bytes`.
std::optional<std::string> inflate(std::string_view data, std::size_t max_bytes);

} // namespace snipeshore::base
