#include "http/internal/message_check.h"

#include <algorithm>
#include <array>

namespace snipeshore::http {

namespace {

constexpr std::string_view token_symbols = "!#$%&'*+-.^_`|~";

constexpr std::array<std::string_view, 6> framing_headers = {
    "connection", "content-length", "host", "keep-alive", "transfer-encoding", "upgrade"};

constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;

bool is_token_char(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           token_symbols.find(c) != std::string_view::npos;
}

bool is_control(char c)
{
    const auto code = static_cast<unsigned char>(c);
    return code < 0x20U || code == 0x7fU;
}

} // namespace

bool is_token(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), is_token_char);
}

bool is_header_value(std::string_view text)
{
    return std::none_of(text.begin(), text.end(),
                        [](char c) { return is_control(c) && c != '\t'; });
}

bool is_request_target(std::string_view text)
{
    return !text.empty() &&
           std::none_of(text.begin(), text.end(), [](char c) { return is_control(c) || c == ' '; });
}

bool is_framing_header(std::string_view name)
{
    return std::find(framing_headers.begin(), framing_headers.end(), name) != framing_headers.end();
}

bool has_response_body(std::string_view method, int status)
{
    return method != "HEAD" && status >= first_final_status && status != status_no_content &&
           status != status_not_modified;
}

} // namespace snipeshore::http
