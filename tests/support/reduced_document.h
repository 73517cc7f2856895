/// @file Reduces a configuration document to a smaller deployment.
#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace snipeshore::test {

/// Keeps the given failure domains and, in each of them, the given number of hosts and of each
/// service's targets. Raises the capacities, so that they still cover the accounts' rates.
nlohmann::json reduce_document(nlohmann::json document,
                               const std::vector<std::string>& failure_domains,
                               std::size_t hosts_per_domain, std::size_t targets_per_domain);

} // namespace snipeshore::test
