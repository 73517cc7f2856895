/// @file Routes to the endpoints of the target stand-in, for system tests.
#pragma once

#include "tests/support/fleet.h"

#include <nlohmann/json.hpp>

namespace snipeshore::test {

/// Adds the stand-in's own paths to every service: idempotent ones, `/run` that runs once and
/// `/open` that needs no key.
void add_test_routes(nlohmann::json& document);

/// One host in each of two failure domains of different regions, with the routes above.
fleet_settings two_domains();

} // namespace snipeshore::test
