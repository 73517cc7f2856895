#include "apps/host/target_ends.h"

#include "apps/host/host_context.h"
#include "apps/host/notices.h"
#include "apps/host/target_registry.h"
#include "telemetry/event_log.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace snipeshore::apps {

namespace {

/// A target whose row was replaced or is gone may have ended this long ago.
constexpr std::chrono::seconds row_notice_time{10};

/// Targets checked at a time; each check costs the target a connection.
constexpr std::size_t max_checked = 8;

std::string address_of(const target_registry& registry, const base::target_id& target)
{
    const auto found = registry.targets.find(target);
    return found == registry.targets.end() ? "" : found->second.address;
}

/// Some of the targets, other ones each time.
std::vector<base::target_id> pick(std::vector<base::target_id> targets, std::mt19937_64& random)
{
    if (targets.size() > max_checked) {
        std::shuffle(targets.begin(), targets.end(), random);
        targets.resize(max_checked);
    }
    return targets;
}

} // namespace

void record_target_end(host_context& context, const base::target_id& target,
                       base::duration noticed_within)
{
    const std::vector<fleet::notice> notices = crash_evidence::on_target_ended(
        context.crashes, target, base::boot_clock::now(), noticed_within);
    if (!notices.empty()) {
        telemetry::log_event(
            telemetry::severity::warning, "target_crashed",
            {{"target", target.value()}, {"notices", static_cast<std::uint64_t>(notices.size())}});
    }
    publish(context, notices);
}

void record_target_alive(host_context& context, const base::target_id& target)
{
    publish(context,
            crash_evidence::on_target_alive(context.crashes, target, base::boot_clock::now()));
}

void check_target(host_context& context, const base::target_id& target, const std::string& address,
                  base::duration noticed_within)
{
    context.check_target(target, address,
                         [&context, target, noticed_within](retries::liveness found) {
                             if (found == retries::liveness::ended) {
                                 record_target_end(context, target, noticed_within);
                             } else if (found == retries::liveness::running) {
                                 crash_evidence::on_target_running(context.crashes, target);
                                 record_target_alive(context, target);
                             }
                         });
}

void check_given_up(host_context& context, const target_registry& registry)
{
    for (const auto& [target, started_ms, address] :
         crash_evidence::processes_of(context.crashes.given_up)) {
        const auto registered = registry.targets.find(target);
        if (registered == registry.targets.end()) {
            check_target(context, target, address, row_notice_time);
        } else if (registered->second.started_ms != started_ms) {
            record_target_end(context, target, row_notice_time);
        }
    }
    const base::time_point now = base::boot_clock::now();
    for (const base::target_id& target :
         pick(crash_evidence::targets_to_check(context.crashes, now), context.random)) {
        if (const std::string address = address_of(registry, target); !address.empty()) {
            check_target(context, target, address);
        }
    }
}

} // namespace snipeshore::apps
