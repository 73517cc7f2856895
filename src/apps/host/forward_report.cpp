#include "apps/host/forward_task.h"

#include "apps/host/host_context.h"
#include "apps/host/request_parts.h"
#include "base/error_response.h"
#include "http/exchange.h"
#include "prediction/service_times.h"
#include "telemetry/event_log.h"
#include "telemetry/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/histogram.h>

#include <chrono>
#include <utility>

// Part of forward_task that refuses requests, and writes the log and the metrics of each.
namespace snipeshore::apps {

using base::error;
using telemetry::severity;

namespace {

double to_milliseconds(base::duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace

void forward_task::refuse(const error& cause)
{
    return_unused_token();
    const base::error_response& response = base::response_for(cause.kind);
    telemetry::log_event(severity::info, "refused",
                         {{"request_id", m_id},
                          {"kind", response.name},
                          {"cause", cause.detail},
                          {"route", m_route == nullptr ? "" : m_route->name},
                          {"account", m_account == nullptr ? "" : m_account->id.value()},
                          {"config", m_routes == nullptr ? 0 : m_routes->version},
                          {"best_target", m_best_target.value()},
                          {"predicted_wait_ms", to_milliseconds(m_predicted_wait)},
                          {"predicted_ms", to_milliseconds(m_predicted_time)},
                          {"retry_after_ms", to_milliseconds(m_retry_after)},
                          {"sent", static_cast<std::uint64_t>(m_sent_attempts)},
                          {"after_ms", to_milliseconds(base::boot_clock::now() - m_arrived)}});
    const bool not_run = response.not_run && !m_may_have_run;
    auto [head, body] = make_refusal(cause, m_id, not_run, m_retry_after);
    m_exchange->respond(std::move(head), std::move(body));
    record_end(response.http_status, response.name);
    finish_task();
}

void forward_task::record_end(int status, std::string_view outcome)
{
    const base::duration took = base::boot_clock::now() - m_arrived;
    const base::duration sent_after = m_tried.empty() ? base::duration{0} : m_sent_at - m_arrived;
    const std::string route = m_route == nullptr ? "none" : m_route->name;
    count_request(m_context, route, outcome);
    if (m_sent_attempts > 0) {
        m_context.metrics
            .counter("snipeshore_target_rank_total",
                     "Requests by the rank of their last target; 0 is the object's first choice.",
                     {{"rank", std::to_string(m_rank)}})
            .Increment();
    }
    m_context.metrics
        .latency("snipeshore_request_seconds",
                 "Time from the arrival of a request to the end of its response.")
        .Observe(std::chrono::duration<double>(took).count());
    telemetry::log_event(severity::info, "request_done",
                         {{"request_id", m_id},
                          {"route", route},
                          {"account", m_account == nullptr ? "" : m_account->id.value()},
                          {"service", m_service.value()},
                          {"status", status},
                          {"outcome", outcome},
                          {"object", m_object},
                          {"target", m_tried.empty() ? "" : m_tried.back().value()},
                          {"rank", static_cast<std::uint64_t>(m_rank)},
                          {"known", prediction::to_string(m_sent.known)},
                          {"predicted_wait_ms", to_milliseconds(m_predicted_wait)},
                          {"predicted_ms", to_milliseconds(m_predicted_time)},
                          {"sent", static_cast<std::uint64_t>(m_sent_attempts)},
                          {"sent_after_ms", to_milliseconds(sent_after)},
                          {"took_ms", to_milliseconds(took)}});
}

} // namespace snipeshore::apps
