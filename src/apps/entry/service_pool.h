/// @file Targets of one service as one entry process uses them.
#pragma once

#include "balancing/balancer.h"
#include "base/time.h"
#include "base/types/ids.h"
#include "retries/types/retry.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace snipeshore::config {
struct service;
}

namespace snipeshore::apps {

struct fleet_state;

/// Latest latencies of a service, for its p95.
struct latency_window {
    static constexpr std::size_t capacity = 256;

    std::array<base::duration, capacity> samples{};
    std::size_t count = 0;
};

void add_latency(latency_window& window, base::duration latency);

/// 0 until enough samples were taken.
base::duration p95_of(const latency_window& window);

/// State of one service. Vectors are indexed as `balancer.targets`.
struct service_pool {
    base::service_id service;
    balancing::balancer_state balancer;
    std::vector<std::string> addresses;
    std::vector<std::vector<std::uint64_t>>
        running_fingerprints;            ///< Fingerprints in flight per target.
    std::vector<bool> drained;           ///< By an operator.
    std::vector<bool> announced_leaving; ///< By the target itself.
    std::string health_path;
    std::string load_path;
    retries::retry_budget budget;
    latency_window latencies;
};

service_pool make_pool(const config::service& service, base::time_point now);

/// Takes the targets of the own failure domain; drained ones count as leaving.
void update_pool(service_pool& pool, const config::service& service, const fleet_state& fleet,
                 const base::host_id& self, const base::failure_domain_id& domain,
                 base::time_point now);

/// The target says that it leaves, or that it is back.
void set_announced_leaving(service_pool& pool, std::uint32_t target, bool is_leaving);

void add_running(service_pool& pool, std::uint32_t target, std::uint64_t fingerprint);
void remove_running(service_pool& pool, std::uint32_t target, std::uint64_t fingerprint);

} // namespace snipeshore::apps
