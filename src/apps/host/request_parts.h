/// @file Reads what a request of a caller says about itself.
#pragma once

#include "apps/host/types/wire_names.h"
#include "http/types/message.h"
#include "routing/types/route_table.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace snipeshore::apps {

/// Value of a cookie of that name; empty if there is none.
std::string_view find_cookie(const http::header_list& headers, std::string_view name);

/// Time that the caller will wait; nothing if it does not say or says nonsense.
std::optional<std::chrono::milliseconds> read_time_left(const http::header_list& headers,
                                                        std::string_view name);

/// Hash by which requests of a route for one object meet the same targets: what a target knows of
/// an object helps on that route only. `fallback` for routes without affinity and requests that
/// name no object.
std::uint64_t object_hash(const http::header_list& headers, const wire_names& names,
                          const routing::route& route, std::uint64_t fallback);

/// Headers that go to the target: without the key and what only the system may set.
http::header_list make_forwarded_headers(const http::header_list& from, const wire_names& names);

} // namespace snipeshore::apps
