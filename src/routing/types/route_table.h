/// @file Active routes, services and client accounts, as used to process requests.
#pragma once

#include "base/types/ids.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipeshore::routing {

/// Whether requests may be repeated. A `once` (non-idempotent) request of a caller runs at most
/// once.
enum class repeat : std::uint8_t { idempotent, once };

struct weighted_service {
    base::service_id service;
    double weight = 1;
};

struct route {
    std::string name;
    std::string prefix; ///< Begins and ends with a slash.
    repeat repeats = repeat::idempotent;
    std::chrono::milliseconds time_limit{0}; ///< 0: only the caller's limit applies.
    std::chrono::milliseconds objective{0};  ///< Latency objective of a response.
    int priority = 0;                        ///< 0 is the most urgent.
    unsigned max_attempts = 1;               ///< Targets that one request may be sent to.
    std::vector<weighted_service> services;  ///< Requests are split by weight.
    bool allows_anonymous = false;           ///< Needs no key.
    bool has_affinity = false;               ///< Targets are faster for objects they know already.
    std::vector<base::region_id> homes;      ///< Home regions, which may serve it; empty: all.
};

struct service {
    base::service_id id;
    std::string health_path;
    std::uint32_t max_connections = 0; ///< Limit per target for all callers; 0: unknown.
    std::chrono::milliseconds cold_time{0};
    double cold_rate = 0; ///< Requests per second that a cold target can serve; 0: no limit.
};

struct account {
    base::account_id id;
    std::vector<std::string> keys;
    int priority = 0; ///< 0 is the most urgent.
    double rate = 0;  ///< Requests per second on all hosts together; 0: no limit.
    double burst = 0; ///< In requests.
    std::vector<base::region_id> homes;
};

/// Size limits and timeouts for requests of callers.
struct caller_limits {
    std::size_t max_header_bytes = 0;
    std::size_t max_body_bytes = 0;
    std::chrono::milliseconds header_timeout{0};
    std::chrono::milliseconds idle_timeout{0};
};

struct route_table {
    std::uint64_t version = 0;
    /// By lower-case host name. The routes of a host are sorted by descending prefix length.
    std::unordered_map<std::string, std::vector<route>> hosts;
    std::unordered_map<base::service_id, service> services;
    std::vector<account> accounts;
    std::unordered_map<std::string, std::size_t> account_of_key; ///< Index into `accounts`.
    caller_limits limits;
    std::vector<int> ranks; ///< All possible ranks of requests, most urgent first.
};

} // namespace snipeshore::routing
