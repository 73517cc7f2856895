#include "apps/host/target_limits.h"

#include "apps/host/host_context.h"
#include "apps/host/notices.h"
#include "fleet/bulletin.h"
#include "fleet/members.h"
#include "limits/target_limit.h"
#include "telemetry/event_log.h"

#include <chrono>
#include <string>
#include <utility>

namespace snipeshore::apps {

namespace {

using telemetry::severity;

/// A response without a limit ends it only this long after one that named it: responses overtake
/// each other on different connections.
constexpr std::chrono::milliseconds release_delay{1000};

/// A limit ends when nothing was heard of it for this long; owners hear of it with each response.
constexpr std::chrono::seconds limit_lifetime{30};

constexpr double no_limit = -1;

void log_change(const pooled_target& target, std::string_view source)
{
    telemetry::log_event(severity::info, "target_limit_changed",
                         {{"target", target.entry.id.value()},
                          {"service", target.entry.service.value()},
                          {"per_s", target.limit.rate.value_or(no_limit)},
                          {"own_per_s", target.limit.own_rate},
                          {"source", source}});
}

void update_share(const host_context& context, pooled_target& target, base::time_point now)
{
    limits::set_share(target.limit,
                      fleet::limit_share(context.members, target.entry.id.value(),
                                         target.entry.failure_domain, *target.limit.rate),
                      now);
}

void set_limit(const host_context& context, pooled_target& target, double rate,
               base::time_point named_at, base::time_point now)
{
    limits::set_rate(target.limit, rate, named_at);
    update_share(context, target, now);
}

void end_limit(host_context& context, pooled_target& target, base::time_point now)
{
    limits::end_limit(target.limit);
    log_change(target, "response");
    publish(context, {{fleet::notice_kind::target_limit, subject_of(target), no_limit, now}});
}

} // namespace

void apply_limit_header(host_context& context, pooled_target& target,
                        std::optional<std::string_view> named, base::time_point now)
{
    if (!named.has_value()) {
        if (target.limit.rate.has_value() && now - target.limit.named_at > release_delay) {
            end_limit(context, target, now);
        }
        return;
    }
    const auto rate = limits::parse_target_limit(*named);
    if (!rate.has_value()) {
        // What the target named before holds on.
        if (!std::exchange(target.has_unreadable_limit, true)) {
            telemetry::log_event(
                severity::warning, "target_limit_unreadable",
                {{"target", target.entry.id.value()}, {"value", named->substr(0, 40)}});
        }
        return;
    }
    const bool is_change = target.limit.rate != rate;
    set_limit(context, target, *rate, now, now);
    const fleet::notice made{fleet::notice_kind::target_limit, subject_of(target), *rate, now};
    if (is_change) {
        log_change(target, "response");
        publish(context, {made});
    } else {
        fleet::post(context.notices, made); // Told with the next messages, so that it does not end.
    }
}

void apply_limit_notice(host_context& context, const fleet::notice& heard, base::time_point now)
{
    pooled_target* target = find_subject(context, heard.subject);
    if (target == nullptr || heard.observed_at <= target->limit.named_at) {
        return;
    }
    const bool is_change = target->limit.rate.value_or(no_limit) != heard.value;
    if (heard.value >= 0) {
        set_limit(context, *target, heard.value, heard.observed_at, now);
    } else {
        limits::end_limit(target->limit);
    }
    if (is_change) {
        log_change(*target, "host");
    }
}

void update_limit_shares(host_context& context, base::time_point now)
{
    for (auto& [service, pool] : context.pools) {
        for (pooled_target& target : pool.targets) {
            if (!target.limit.rate.has_value()) {
                continue;
            }
            if (now - target.limit.named_at > limit_lifetime) {
                limits::end_limit(target.limit);
                log_change(target, "age");
                continue;
            }
            update_share(context, target, now);
        }
    }
}

} // namespace snipeshore::apps
