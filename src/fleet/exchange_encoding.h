/// @file Text form of what hosts tell each other and of their rows in the store.
#pragma once

#include "base/result.h"
#include "fleet/types/exchange.h"
#include "rows/table_replica.h"

#include <string>
#include <string_view>

namespace snipeshore::fleet {

/// JSON. Errors of the parsers: `document_invalid`.
std::string encode(const exchange_message& message);
base::result<exchange_message> parse_exchange(std::string_view text);

std::string encode(const member& host);
base::result<member> parse_member(std::string_view text);

/// Rows that a host passes on to another. Bytes of a value that are no UTF-8 are replaced.
std::string encode(const rows::replica_update& update);
base::result<rows::replica_update> parse_update(std::string_view text);

} // namespace snipeshore::fleet
