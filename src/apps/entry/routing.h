/// @file Finds the service and the route of a request.
#pragma once

#include "base/result.h"

#include <cstddef>
#include <string_view>

namespace snipeshore::config {
struct document;
struct route;
struct service;
} // namespace snipeshore::config

namespace snipeshore::apps {

struct matched_route {
    const config::service* service = nullptr;
    const config::route* route = nullptr;
};

/// Returns the service and the route of a request. `authority` is the value of the Host header,
/// with or without a port; `path` may contain a query. Of the routes whose prefix matches whole
/// path segments, the one with the longest prefix is chosen. Fails with `service_unknown`,
/// `route_unknown` or `method_not_allowed`.
base::result<matched_route> match_route(const config::document& document,
                                        std::string_view authority, std::string_view method,
                                        std::string_view path);

} // namespace snipeshore::apps
