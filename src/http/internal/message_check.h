/// @file Validation of message heads, which prevents request and response splitting.
#pragma once

#include "http/types/message.h"

#include <string_view>

namespace snipeshore::http {

/// Responses with lower statuses are interim ones (RFC 9110, 15.2).
inline constexpr int first_final_status = 200;

/// Whether the text is a token (RFC 9110, 5.6.2), as header names and methods must be.
bool is_token(std::string_view text);

/// Whether a header value has no control characters except tabs; a line break would end the header.
bool is_header_value(std::string_view text);

/// Whether a request target is valid in a request line.
bool is_request_target(std::string_view text);

/// Whether client and server write this header themselves: it defines the framing, the connection
/// or the host.
bool is_framing_header(std::string_view name);

/// Whether a response with this status to this method has a body (RFC 9112, 6.3).
bool has_response_body(std::string_view method, int status);

} // namespace snipeshore::http
