#include "signals/parse_signals.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace snipeshore::signals {

namespace {

std::string_view trim(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    const std::size_t last = text.find_last_not_of(" \t");
    return first == std::string_view::npos ? std::string_view()
                                           : text.substr(first, last - first + 1);
}

} // namespace

std::optional<base::duration> parse_rest(std::string_view text)
{
    const std::string_view number = trim(text);
    double seconds = 0;
    const auto [end, failure] = std::from_chars(number.data(), number.data() + number.size(),
                                                seconds, std::chars_format::fixed);
    if (failure != std::errc() || end != number.data() + number.size() || !std::isfinite(seconds) ||
        seconds <= 0) {
        return std::nullopt;
    }
    const std::chrono::duration<double> longest = max_rest;
    return std::chrono::ceil<base::duration>(
        std::min(std::chrono::duration<double>(seconds), longest));
}

std::optional<bool> parse_leaving(std::string_view text)
{
    const std::string_view value = trim(text);
    if (value == "1") {
        return true;
    }
    return value == "0" ? std::optional(false) : std::nullopt;
}

} // namespace snipeshore::signals
