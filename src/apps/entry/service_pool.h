/// @file State of a service and its targets in an entry process.
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

/// The latest latencies of a service, from which its 95th percentile is computed.
struct latency_window {
    static constexpr std::size_t capacity = 256;

    std::array<base::duration, capacity> samples{};
    std::size_t count = 0;
};

void add_latency(latency_window& window, base::duration latency);

/// Returns the 95th percentile, or 0 if there are too few samples.
base::duration p95_of(const latency_window& window);

/// State of one service. The vectors have the same indexes as `balancer.targets`.
struct service_pool {
    base::service_id service;
    balancing::balancer_state balancer;
    std::vector<std::string> addresses;
    /// Fingerprints of the requests in flight on each target.
    std::vector<std::vector<std::uint64_t>> running_fingerprints;
    std::vector<bool> drained;           ///< Drained by an operator.
    std::vector<bool> announced_leaving; ///< The target announced that it is draining.
    std::vector<bool> echoes_attempts;   ///< The target's last response had the attempt's id.
    std::string health_path;
    std::string load_path;
    retries::retry_budget budget;
    latency_window latencies;
};

service_pool make_pool(const config::service& service, base::time_point now);

/// Sets the targets of the service in this host's failure domain. Drained targets are marked as
/// leaving.
void update_pool(service_pool& pool, const config::service& service, const fleet_state& fleet,
                 const base::host_id& self, const base::failure_domain_id& domain,
                 base::time_point now);

/// Records that the target announced that it is leaving, or that it is not leaving any more.
void set_announced_leaving(service_pool& pool, std::uint32_t target, bool is_leaving);

void add_running(service_pool& pool, std::uint32_t target, std::uint64_t fingerprint);
void remove_running(service_pool& pool, std::uint32_t target, std::uint64_t fingerprint);

} // namespace snipeshore::apps
