/// @file Meaning of the platform's replies.
#pragma once

#include "base/result.h"
#include "store/types/row.h"

#include <string>
#include <vector>

namespace snipeshore::store::internal {

enum class call_kind { read, write };

/// End of a call without a complete reply.
base::error error_without_reply(call_kind kind, bool request_sent, const base::error& cause);

/// Reply whose status is not a success.
base::error error_of_status(call_kind kind, int status);

/// Success whose body cannot be read.
base::error error_of_body(call_kind kind);

base::result<row> read_row_body(call_kind kind, const std::string& key, const std::string& body);
base::result<std::vector<listed_host>> read_hosts_body(const std::string& body);

/// Whether a key or name can stand in a request path as it is.
bool is_store_name(const std::string& name);

} // namespace snipeshore::store::internal
