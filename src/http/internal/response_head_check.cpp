#include "http/internal/response_head_check.h"

#include "http/internal/h2o.h"
#include "http/internal/message_check.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string>

namespace snipeshore::http {

namespace {

/// The limit of h2o.
constexpr std::size_t max_headers = 100;

/// Maximum number of digits in a content-length; h2o's own conversion rejects longer values.
constexpr std::size_t max_length_digits = 15;

constexpr int status_switching_protocols = 101;

/// Statuses beyond it are invalid (RFC 9110, 15).
constexpr int last_status = 599;

constexpr int parse_incomplete = -2;

using parsed_headers = std::array<phr_header, max_headers>;

std::string lower_case(std::string_view text)
{
    std::string out(text);
    h2o_strtolower(out.data(), out.size());
    return out;
}

/// Whether all header lines are valid. The parser reports a line that begins with a blank as one
/// without a name: it continues the line before (RFC 9112, 5.2), and h2o drops it.
bool has_valid_lines(const parsed_headers& headers, std::size_t count)
{
    return std::all_of(headers.begin(), headers.begin() + static_cast<std::ptrdiff_t>(count),
                       [](const phr_header& one) {
                           return is_token({one.name, one.name_len}) &&
                                  is_header_value({one.value, one.value_len});
                       });
}

/// Whether h2o supports the headers that define the length of the body.
bool has_supported_framing(const parsed_headers& headers, std::size_t count)
{
    return std::all_of(headers.begin(), headers.begin() + static_cast<std::ptrdiff_t>(count),
                       [](const phr_header& one) {
                           const std::string name = lower_case({one.name, one.name_len});
                           const std::string_view value(one.value, one.value_len);
                           if (name == "transfer-encoding") {
                               return value == "chunked";
                           }
                           return name != "content-length" || parse_length(value).has_value();
                       });
}

} // namespace

std::optional<std::uint64_t> parse_length(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (failure != std::errc() || text.empty() || text.size() > max_length_digits ||
        end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::string_view find_head_error(std::string_view bytes, std::size_t max_head_bytes)
{
    std::size_t head_bytes = 0;
    while (head_bytes < bytes.size()) {
        parsed_headers headers{};
        std::size_t count = headers.size();
        int minor_version = 0;
        int status = 0;
        const char* message = nullptr;
        std::size_t message_length = 0;
        const int length =
            phr_parse_response(bytes.data() + head_bytes, bytes.size() - head_bytes, &minor_version,
                               &status, &message, &message_length, headers.data(), &count, 0);
        if (length == parse_incomplete) {
            head_bytes = bytes.size();
            break;
        }
        if (length < 0 || !has_valid_lines(headers, count)) {
            return "response head is malformed";
        }
        head_bytes += static_cast<std::size_t>(length);
        if (status > last_status) {
            return "response status is invalid";
        }
        if (!has_supported_framing(headers, count)) {
            return "response body length is missing, invalid or ambiguous";
        }
        if (status >= first_final_status || status == status_switching_protocols) {
            break;
        }
    }
    return head_bytes > max_head_bytes ? "response head is too large" : std::string_view();
}

} // namespace snipeshore::http
