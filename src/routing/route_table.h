/// @file Finds the route, the client account and the service of a request.
#pragma once

#include "base/result.h"
#include "routing/types/route_table.h"

#include <cstdint>
#include <string_view>

namespace snipeshore::routing {

/// Sorts the routes and indexes the keys. Called once, after the table was filled.
void build_indexes(route_table& table);

/// Route of the host with the longest prefix of the path, or `route_unknown`.
base::result<const route*> find_route(const route_table& table, std::string_view authority,
                                      std::string_view path);

/// Account of the key, or `key_missing` or `key_unknown`.
base::result<const account*> find_account(const route_table& table, std::string_view key);

/// Service for one request, by the weights of the route; `random` is uniform over 64 bits.
const base::service_id& pick_service(const route& from, std::uint64_t random);

/// Whether route and account both allow a target in the region.
bool is_home(const route& of_route, const account* of_account, const base::region_id& region);

/// Rank of a request: the account's priority goes before the route's. Smaller is more urgent.
int rank_of(const route& of_route, const account* of_account);

/// Place of a rank among all: 1 is the most urgent, 0 the least.
double urgency_of(const route_table& table, int rank);

} // namespace snipeshore::routing
