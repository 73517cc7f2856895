/// @file Looks up the route, client account and service of a request.
#pragma once

#include "base/result.h"
#include "routing/types/route_table.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace snipeshore::routing {

/// Sorts the routes and indexes the keys and ranks. Must be called once after the table is filled.
void build_indexes(route_table& table);

/// Host name in lower case, without a port. Hosts' routes are found by it.
std::string host_name(std::string_view authority);

/// Returns the route of the host with the longest prefix of the path, or `route_unknown`.
base::result<const route*> find_route(const route_table& table, std::string_view authority,
                                      std::string_view path);

/// Returns the client account of the key, or `key_missing` or `key_unknown`.
base::result<const account*> find_account(const route_table& table, std::string_view key);

/// Picks a service by the weights of the route; `random` must be uniformly distributed.
const base::service_id& pick_service(const route& matched_route, std::uint64_t random);

/// Returns whether both the route and the client account, if any, allow targets in the region.
bool is_home(const route& matched_route, const account* client_account,
             const base::region_id& region);

/// Returns the rank of a request; smaller is more urgent. The priority of the client account takes
/// precedence over that of the route.
int rank_of(const route& matched_route, const account* client_account);

/// Maps a rank to its position among all ranks: 1 is the most urgent, 0 the least urgent.
double urgency_of(const route_table& table, int rank);

} // namespace snipeshore::routing
