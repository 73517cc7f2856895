#include "apps/host/target_signals.h"

#include "apps/host/host_context.h"
#include "apps/host/notices.h"
#include "fleet/members.h"
#include "fleet/types/notice.h"
#include "http/types/message.h"
#include "signals/parse_signals.h"
#include "signals/target_rest.h"
#include "telemetry/event_log.h"
#include "telemetry/metrics.h"

#include <prometheus/counter.h>

#include <chrono>
#include <string>
#include <string_view>
#include <utility>

namespace snipeshore::apps {

namespace {

using telemetry::severity;

constexpr int status_unavailable = 503;
constexpr std::string_view rest_header = "retry-after";

/// Longer values are cut off in the log.
constexpr std::size_t max_logged_bytes = 40;

void count_signal(const host_context& context, const pooled_target& target,
                  const std::string& signal)
{
    context.metrics
        .counter("snipeshore_target_signals_total",
                 "Signals of targets that change what they are sent.",
                 {{"service", target.entry.service.value()}, {"signal", signal}})
        .Increment();
}

void log_unreadable(pooled_target& target, std::string_view header, std::string_view value)
{
    if (std::exchange(target.has_unreadable_signal, true)) {
        return;
    }
    telemetry::log_event(severity::warning, "target_signal_unreadable",
                         {{"target", target.entry.id.value()},
                          {"header", header},
                          {"value", value.substr(0, max_logged_bytes)}});
}

void mark_leaving(host_context& context, pooled_target& target, std::string_view source)
{
    if (std::exchange(target.signals.is_leaving, true)) {
        return;
    }
    count_signal(context, target, "leaving");
    telemetry::log_event(severity::info, "target_leaving",
                         {{"target", target.entry.id.value()},
                          {"service", target.entry.service.value()},
                          {"started_ms", target.entry.started_ms},
                          {"source", source}});
}

void apply_leaving(host_context& context, pooled_target& target, std::string_view value,
                   base::time_point now)
{
    const auto is_leaving = signals::parse_leaving(value);
    if (!is_leaving.has_value()) {
        log_unreadable(target, context.settings.names.leaving, value);
        return;
    }
    if (*is_leaving && !target.signals.is_leaving) {
        mark_leaving(context, target, "response");
        publish(context, {{fleet::notice_kind::target_leaving, subject_of(target), 1, now}});
    }
}

void apply_rest(host_context& context, pooled_target& target, std::string_view value,
                base::time_point now)
{
    const auto time = signals::parse_rest(value);
    if (!time.has_value()) {
        log_unreadable(target, rest_header, value);
        return;
    }
    const bool is_resting = signals::return_time(target.signals, now).has_value();
    signals::ask_rest(target.signals,
                      {*time, fleet::possible_host_count(context.members), context.random()}, now);
    if (is_resting) {
        return; // Further refusals of requests that were under way say the same.
    }
    count_signal(context, target, "rest");
    telemetry::log_event(
        severity::info, "target_rests",
        {{"target", target.entry.id.value()},
         {"service", target.entry.service.value()},
         {"for_ms", std::chrono::duration<double, std::milli>(*time).count()},
         {"returns_in_ms",
          std::chrono::duration<double, std::milli>(target.signals.returns_at - now).count()}});
}

} // namespace

void apply_signals(host_context& context, pooled_target& target, const http::response_head& head,
                   base::time_point now)
{
    if (const auto leaving = http::find_header(head.headers, context.settings.names.leaving)) {
        apply_leaving(context, target, *leaving, now);
    }
    const auto rest = http::find_header(head.headers, rest_header);
    if (head.status == status_unavailable && rest.has_value()) {
        apply_rest(context, target, *rest, now);
    }
}

void apply_leaving_notice(host_context& context, const fleet::notice& heard)
{
    if (pooled_target* target = find_subject(context, heard.subject)) {
        mark_leaving(context, *target, "host");
    }
}

} // namespace snipeshore::apps
