#include "base/json_reader.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace snipeshore::base {

namespace {

using nlohmann::json;

/// Identifier of the library's exceptions for errors that are not its own.
constexpr int error_id = 501;

/// Whole numbers up to this one are exact in a `double`.
constexpr double max_exact = 9007199254740992.0;

/// Up to its first syntax error, the parser finds the same depth as this function; it stops there.
bool is_too_deep(std::string_view text)
{
    std::size_t depth = 0;
    bool is_in_string = false;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const char c = text[at];
        if (is_in_string) {
            at += c == '\\' ? 1U : 0U;
            is_in_string = c != '"';
        } else if (c == '"') {
            is_in_string = true;
        } else if (c == '[' || c == '{') {
            if (++depth > max_json_depth) {
                return true;
            }
        } else if ((c == ']' || c == '}') && depth > 0) {
            --depth;
        }
    }
    return false;
}

} // namespace

json parse_json(std::string_view text)
{
    if (is_too_deep(text)) {
        throw json::other_error::create(
            error_id, "more than " + std::to_string(max_json_depth) + " levels of nesting",
            nullptr);
    }
    return json::parse(text);
}

json parse_json_or_discard(std::string_view text)
{
    return is_too_deep(text) ? json(json::value_t::discarded) : json::parse(text, nullptr, false);
}

std::uint64_t read_count(const json& value, std::uint64_t max)
{
    std::uint64_t count = 0;
    bool is_count = value.is_number_unsigned();
    if (is_count) {
        count = value.get<std::uint64_t>();
    } else if (value.is_number_float()) {
        const auto number = value.get<double>();
        is_count = number >= 0 && number <= max_exact && std::floor(number) == number;
        count = is_count ? static_cast<std::uint64_t>(number) : 0;
    }
    if (!is_count || count > max) {
        throw json::other_error::create(
            error_id, "not a whole number from 0 to " + std::to_string(max), &value);
    }
    return count;
}

} // namespace snipeshore::base
