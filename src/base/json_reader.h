/// @file Parsing of JSON texts that other processes wrote.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace snipeshore::base {

/// Maximum nesting depth of a JSON text. The JSON library copies, compares and writes values
/// recursively, so a deep text would overflow the stack. The deepest texts in use have 18 levels.
inline constexpr std::size_t max_json_depth = 32;

/// Parses a text; throws `nlohmann::json::exception` if it is malformed or too deep. All texts that
/// come from outside the process are parsed with this function or the next one.
nlohmann::json parse_json(std::string_view text);

/// Like `parse_json`, but returns a discarded value instead of throwing.
nlohmann::json parse_json_or_discard(std::string_view text);

/// Reads a whole number of at most `max`, also if it is written with a fraction or an exponent;
/// throws `nlohmann::json::exception` for any other value. `get` of the JSON library would truncate
/// such a value without an error.
std::uint64_t read_count(const nlohmann::json& value, std::uint64_t max);

} // namespace snipeshore::base
