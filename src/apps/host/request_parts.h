/// @file Reads headers of a caller's request and prepares those forwarded to a target.
#pragma once

#include "apps/host/types/wire_names.h"
#include "base/result.h"
#include "base/time.h"
#include "base/types/error.h"
#include "http/types/message.h"
#include "routing/types/route_table.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace snipeshore::apps {

/// Largest body of a caller's request.
inline constexpr std::size_t max_body_bytes = 64U << 20U;

/// Value of the cookie with that name; empty if there is none.
std::string_view find_cookie(const http::header_list& headers, std::string_view name);

/// The client account of the request's key; null if the route needs none. Errors: `key_missing`,
/// `key_unknown`.
base::result<const routing::account*> account_of(const routing::route_table& routes,
                                                 const routing::route& route,
                                                 const http::header_list& headers,
                                                 std::string_view key_name);

/// Time that the caller will wait; empty if the header is missing or invalid.
std::optional<std::chrono::milliseconds> read_time_left(const http::header_list& headers,
                                                        std::string_view name);

/// End of the time for a request: the earlier one of the caller's limit and the route's, which is
/// absent for requests without a route.
base::time_point request_deadline(const http::header_list& headers, std::string_view time_left_name,
                                  const routing::route* route, base::time_point arrived);

/// Hash that directs the requests of one route for one object to the same targets. It includes the
/// route because what a target knows of an object helps on that route only. Returns `fallback` for
/// routes without affinity and for requests without an object.
std::uint64_t object_hash(const http::header_list& headers, const wire_names& names,
                          const routing::route& route, std::uint64_t fallback);

/// Headers forwarded to the target: without the key and without those that only the system may set.
http::header_list make_forwarded_headers(const http::header_list& from, const wire_names& names);

/// The response to a request that is refused. `not_run`: no target has run it or will.
std::pair<http::response_head, std::string> make_refusal(const base::error& cause,
                                                         std::string_view request_id, bool not_run,
                                                         base::duration retry_after);

} // namespace snipeshore::apps
