/// @file Makes a smaller deployment out of a configuration document.
#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace snipeshore::test {

/// Keeps the failure domains named, and the given number of hosts and of each service's targets in
/// each. Capacities are raised, so that the accounts' rates still fit.
nlohmann::json reduce_document(nlohmann::json document,
                               const std::vector<std::string>& failure_domains,
                               std::size_t hosts_per_domain, std::size_t targets_per_domain);

} // namespace snipeshore::test
