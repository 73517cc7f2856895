/// @file Mapping of the platform's replies to results and errors.
#pragma once

#include "base/result.h"
#include "http/types/message.h"
#include "store/types/row.h"

#include <cstdint>
#include <string>
#include <vector>

namespace snipeshore::store::internal {

enum class call_kind { read, write };

/// Error of a call that got no complete reply.
base::error error_without_reply(call_kind kind, bool request_sent, const base::error& cause);

/// Error of a reply whose status is not a success.
base::error error_of_status(call_kind kind, int status);

/// Error of a successful reply with a malformed body or era.
base::error malformed_body_error(call_kind kind);

/// Era of the store according to the headers of a reply; 0 if the store does not send its era.
base::result<std::uint64_t> read_era(call_kind kind, const http::header_list& headers);

base::result<row> read_row_body(call_kind kind, const std::string& key, const std::string& body);
base::result<std::vector<listed_host>> read_hosts_body(const std::string& body);

/// Whether a key or name can be used in a request path without escaping.
bool is_valid_name(const std::string& name);

} // namespace snipeshore::store::internal
