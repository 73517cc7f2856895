/// @file JSON encoding of messages between hosts and of the rows of hosts in the store.
#pragma once

#include "base/result.h"
#include "fleet/types/exchange.h"
#include "fleet/types/notice.h"
#include "rows/table_replica.h"

#include <string>
#include <string_view>

namespace snipeshore::fleet {

/// The parsers return the error `document_invalid`.
std::string encode(const exchange_message& message);
base::result<exchange_message> parse_exchange(std::string_view text);

std::string encode(const member& host);
base::result<member> parse_member(std::string_view text);

/// Rows that a host sends to another host. A value that is not valid UTF-8 is sent as an empty one:
/// no reader of rows accepts either of the two.
std::string encode(const rows::replica_update& update);
base::result<rows::replica_update> parse_update(std::string_view text);

std::string encode(const stored_notices& stored);
base::result<stored_notices> parse_stored_notices(std::string_view text);

} // namespace snipeshore::fleet
