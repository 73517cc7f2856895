/// @file Routes to the endpoints of the stand-in target, for system tests.
#pragma once

#include "tests/support/fleet.h"

#include <nlohmann/json.hpp>

namespace snipeshore::test {

/// Adds routes to the test endpoints of the stand-in target to every service: several idempotent
/// routes, the non-idempotent route `/run` and the route `/open`, which needs no key.
void add_test_routes(nlohmann::json& document);

/// One host in each of two failure domains of different regions, with the routes of
/// `add_test_routes`.
fleet_settings two_domains();

} // namespace snipeshore::test
