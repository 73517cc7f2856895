#include "apps/entry/service_pool.h"

#include "apps/common/fleet_state.h"
#include "retries/retry_budget.h"

#include <algorithm>

namespace snipeshore::apps {

namespace {

constexpr std::size_t min_latency_samples = 20;

void update_leaving(service_pool& pool, std::uint32_t target)
{
    pool.balancer.targets[target].info.leaving =
        pool.drained[target] || pool.announced_leaving[target];
}

balancing::target_info to_target_info(const config::target& target, const fleet_state& fleet)
{
    const bool leaving = is_drained(fleet, config::drain_kind::target, target.id.value());
    return {target.id, target.slots, target.connections, leaving};
}

} // namespace

void add_latency(latency_window& window, base::duration latency)
{
    window.samples.at(window.count % latency_window::capacity) = latency;
    ++window.count;
}

base::duration p95_of(const latency_window& window)
{
    if (window.count < min_latency_samples) {
        return base::duration{0};
    }
    const std::size_t size = std::min(window.count, latency_window::capacity);
    std::vector<base::duration> sorted(window.samples.begin(),
                                       window.samples.begin() + static_cast<std::ptrdiff_t>(size));
    const auto rank = sorted.begin() + static_cast<std::ptrdiff_t>(size * 95 / 100);
    std::nth_element(sorted.begin(), rank, sorted.end());
    return *rank;
}

service_pool make_pool(const config::service& service, base::time_point now)
{
    service_pool pool;
    pool.service = service.id;
    pool.balancer.config.warm_up = service.warm_up;
    pool.budget = retries::make_budget({}, now);
    return pool;
}

void update_pool(service_pool& pool, const config::service& service, const fleet_state& fleet,
                 const base::host_id& self, const base::failure_domain_id& domain,
                 base::time_point now)
{
    balancing::target_set set;
    set.self = self;
    for (const config::host& host : fleet.config->hosts) {
        if (host.failure_domain == domain) {
            set.entry_hosts.push_back(host.id);
        }
    }
    for (const config::target& target : service.targets) {
        if (target.failure_domain == domain) {
            set.targets.push_back(to_target_info(target, fleet));
        }
    }
    balancing::set_targets(pool.balancer, set, now);
    pool.health_path = service.health_path;
    pool.load_path = service.load_path;
    const std::size_t count = pool.balancer.targets.size();
    pool.addresses.resize(count);
    pool.running_fingerprints.resize(count);
    pool.drained.resize(count);
    pool.announced_leaving.resize(count);
    pool.echoes_attempts.resize(count);
    for (const config::target& target : service.targets) {
        const auto index = balancing::find_target(pool.balancer, target.id);
        if (!index.has_value()) {
            continue;
        }
        pool.addresses[*index] = target.address;
        pool.drained[*index] = pool.balancer.targets[*index].info.leaving;
        update_leaving(pool, *index);
    }
}

void set_announced_leaving(service_pool& pool, std::uint32_t target, bool is_leaving)
{
    pool.announced_leaving[target] = is_leaving;
    update_leaving(pool, target);
}

void add_running(service_pool& pool, std::uint32_t target, std::uint64_t fingerprint)
{
    pool.running_fingerprints[target].push_back(fingerprint);
}

void remove_running(service_pool& pool, std::uint32_t target, std::uint64_t fingerprint)
{
    auto& running = pool.running_fingerprints[target];
    const auto found = std::find(running.begin(), running.end(), fingerprint);
    if (found == running.end()) {
        return;
    }
    *found = running.back();
    running.pop_back();
}

} // namespace snipeshore::apps
