/// @file Configuration that the soak publishes as the operator.
#pragma once

#include "tests/soak/invariant_checker.h"

#include <string>

namespace snipeshore::soak {

/// Path that is served from this version on, and by the next few versions.
std::string version_path(unsigned version);

/// Has an account without a limit, which uses `key`, and the account "small" with `limits`.
std::string operator_document(unsigned version, const std::string& key, const quota_bounds& limits);

} // namespace snipeshore::soak
