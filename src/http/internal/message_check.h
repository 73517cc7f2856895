/// @file Checks that keep one message from being read as two.
#pragma once

#include "http/types/message.h"

#include <string_view>

namespace snipeshore::http {

/// Whether the text is a token of RFC 9110, as header names and methods must be.
bool is_token(std::string_view text);

/// Whether a header value has no control character that would end its line.
bool is_header_value(std::string_view text);

/// Whether a request target can stand in a request line.
bool is_request_target(std::string_view text);

/// Headers that describe the framing of a message; client and server write these themselves.
bool is_framing_header(std::string_view name);

/// Whether a response to that method and with that status has a body (RFC 9112, 6.3).
bool has_response_body(std::string_view method, int status);

} // namespace snipeshore::http
