/// @file Parses the requests that a caller has pipelined after the one in progress.
#pragma once

#include "http/types/message.h"

#include <string_view>
#include <vector>

namespace snipeshore::http {

/// Heads of the complete requests in `bytes`, as h2o will report them. Stops before the first
/// request that is incomplete, has a body, is not a GET, or affects the connection beyond its own
/// response.
std::vector<request_head> parse_pipelined_requests(std::string_view bytes);

} // namespace snipeshore::http
