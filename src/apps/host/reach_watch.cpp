#include "apps/host/reach_watch.h"

#include "apps/host/host_context.h"
#include "apps/host/target_checks.h"
#include "reachability/probe_sample.h"
#include "reachability/target_reach.h"

#include <chrono>
#include <vector>

namespace snipeshore::apps {

using reachability::probe_result;

namespace {

/// Delay before a round is tried again while no target is known.
constexpr std::chrono::milliseconds no_target_delay{500};

/// Targets that this host would send requests to.
std::vector<const pooled_target*> find_candidates(const host_context& context)
{
    std::vector<const pooled_target*> candidates;
    for (const auto& [service, pool] : context.pools) {
        for (const pooled_target& target : pool.targets) {
            if (!target.entry.is_leaving && !target.is_drained && !target.is_misdirected &&
                !target.signals.is_leaving) {
                candidates.push_back(&target);
            }
        }
    }
    return candidates;
}

probe_result result_of(retries::liveness found)
{
    switch (found) {
    case retries::liveness::running:
        return probe_result::connected;
    case retries::liveness::ended:
        return probe_result::refused;
    case retries::liveness::unknown:
        return probe_result::timed_out;
    }
    return probe_result::timed_out;
}

} // namespace

reach_watch::reach_watch(host_context& context, target_checks& checks,
                         std::function<void()> on_change)
    : m_context(context), m_checks(checks), m_on_change(std::move(on_change))
{}

void reach_watch::update()
{
    const base::time_point now = base::boot_clock::now();
    if (reachability::should_probe(m_context.reach, now)) {
        start_round(now);
    }
    if (const auto next = reachability::next_check(m_context.reach, now)) {
        schedule_update(*next);
    }
}

void reach_watch::schedule_update(base::time_point time)
{
    if (m_timer != 0) {
        if (m_timer_due <= time) {
            return;
        }
        m_context.loop.cancel(m_timer);
    }
    m_timer_due = time;
    m_timer = m_context.loop.schedule(time, [this] {
        m_timer = 0;
        update();
    });
}

void reach_watch::start_round(base::time_point now)
{
    const std::vector<const pooled_target*> candidates = find_candidates(m_context);
    if (candidates.empty()) {
        m_context.reach.next_round = now + no_target_delay;
        return;
    }
    std::vector<reachability::probe_candidate> targets;
    targets.reserve(candidates.size());
    for (const pooled_target* one : candidates) {
        targets.push_back(
            {one->entry.id, one->entry.service, one->entry.failure_domain, one->last_response_at});
    }
    const std::vector<std::size_t> chosen =
        reachability::choose_probes(targets, reachability::probes_per_round, m_context.random());
    reachability::begin_round(m_context.reach, chosen.size(), now);
    const auto on_result = [this](probe_result result) {
        if (reachability::on_probe_result(m_context.reach, result, base::boot_clock::now())) {
            m_on_change();
        }
        update();
    };
    for (const std::size_t index : chosen) {
        const target_entry& entry = candidates[index]->entry;
        const bool is_started =
            m_checks.start(entry.id, entry.address,
                           [on_result](retries::liveness found) { on_result(result_of(found)); });
        if (!is_started) {
            // A probe that was not sent is no evidence of a cut.
            on_result(probe_result::connected);
        }
    }
}

} // namespace snipeshore::apps
