/// @file Calls between hosts, over HTTP on the control addresses.
#pragma once

#include "base/result.h"
#include "http/client.h"
#include "rows/table_replica.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace snipeshore::apps {

inline constexpr int peer_status_ok = 200;

/// Largest encoded table update that hosts exchange.
inline constexpr std::size_t max_update_bytes = 8U << 20U;

inline constexpr std::string_view exchange_path = "/fleet/exchange";
inline constexpr std::string_view rows_prefix = "/fleet/rows?";

/// Path of a call for the changes of a table after a version; the peer waits up to `wait` for the
/// first change.
std::string rows_path(std::string_view table, std::uint64_t after, std::chrono::milliseconds wait);

struct rows_query {
    std::string table;
    std::uint64_t after = 0;
    std::chrono::milliseconds wait{0};
};

/// Parses the part of the path after `rows_prefix`; the table name is empty if it is malformed.
rows_query parse_rows_query(std::string_view query);

/// Content coding of large updates, for hosts that accept it.
inline constexpr std::string_view rows_coding = "deflate";

/// Milliseconds since the sender of rows regained contact with the store.
inline constexpr std::string_view contact_header = "store-contact-ms";

using peer_reply = base::result<std::pair<http::response_head, std::string>>;

/// The update in a peer's response. Errors: `store_unavailable`.
base::result<rows::replica_update> parse_rows_reply(const peer_reply& reply);

/// Request for rows whose response begins within `timeout`; a large one may then take longer.
http::client_request make_rows_request(const std::string& address, std::string path,
                                       std::chrono::milliseconds timeout);

http::client_request make_peer_request(const std::string& address, std::string_view method,
                                       std::string path, std::chrono::milliseconds timeout);

} // namespace snipeshore::apps
