/// @file Reads the requests that a caller has sent behind the one that runs.
#pragma once

#include "http/types/message.h"

#include <string_view>
#include <vector>

namespace snipeshore::http {

/// Heads of the complete requests in `bytes`, as h2o will report them. Ends before the first one
/// that is incomplete, has a body, is no GET, or concerns the connection beyond its own response.
std::vector<request_head> parse_pipelined_requests(std::string_view bytes);

} // namespace snipeshore::http
