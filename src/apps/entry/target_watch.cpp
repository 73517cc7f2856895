#include "apps/entry/target_watch.h"

#include "apps/entry/service_pool.h"
#include "base/time.h"
#include "targets/types/report.h"
#include "telemetry/event_log.h"

#include <algorithm>
#include <optional>

namespace snipeshore::apps {

namespace {

void apply_load_report(service_pool& pool, std::uint32_t target, const targets::load_report& load)
{
    const double per_slot = static_cast<double>(load.running + load.queued) /
                            static_cast<double>(std::max(load.slots, 1U));
    balancing::on_load_report(pool.balancer, target, per_slot, base::boot_clock::now());
}

void apply_health_report(service_pool& pool, std::uint32_t target,
                         const targets::poll_report& report)
{
    // An unhealthy or missing response is ignored: the health endpoint may be wrong, and the
    // outcome of requests shows whether the target works.
    const bool is_draining = report.health == targets::health_state::draining;
    const bool is_conclusive = is_draining || report.health == targets::health_state::healthy;
    if (!is_conclusive || pool.announced_leaving[target] == is_draining) {
        return;
    }
    set_announced_leaving(pool, target, is_draining);
    telemetry::log_event(telemetry::severity::info, "target_drain_announced",
                         {{"target", report.target.value()}, {"draining", is_draining}});
}

} // namespace

target_watch::target_watch(http::loop& loop, http::client& client, pool_map& pools)
    : m_pools(pools),
      m_poller(loop, client, {}, [this](const targets::poll_report& report) { on_report(report); })
{}

void target_watch::update()
{
    std::vector<targets::polled_target> polled;
    for (const auto& [id, pool] : m_pools) {
        for (std::size_t index = 0; index < pool.balancer.targets.size(); ++index) {
            const balancing::target_state& target = pool.balancer.targets[index];
            if (target.present && target.in_subset) {
                polled.push_back({target.info.id, pool.addresses[index], pool.addresses[index],
                                  pool.health_path, pool.load_path});
            }
        }
    }
    m_poller.set_targets(polled);
}

void target_watch::on_report(const targets::poll_report& report)
{
    for (auto& [id, pool] : m_pools) {
        const std::optional<std::uint32_t> target =
            balancing::find_target(pool.balancer, report.target);
        if (!target.has_value()) {
            continue;
        }
        apply_health_report(pool, *target, report);
        if (report.load.has_value()) {
            apply_load_report(pool, *target, *report.load);
        }
    }
}

} // namespace snipeshore::apps
