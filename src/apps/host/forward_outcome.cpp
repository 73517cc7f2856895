#include "apps/host/forward_task.h"

#include "apps/common/response_stream.h"
#include "apps/host/host_context.h"
#include "apps/host/notices.h"
#include "apps/host/target_ends.h"
#include "apps/host/target_limits.h"
#include "apps/host/target_signals.h"
#include "http/exchange.h"
#include "limits/fleet_share.h"
#include "reachability/target_reach.h"
#include "retries/liveness.h"
#include "retries/next_step.h"
#include "retries/response_progress.h"
#include "retries/retry_budget.h"
#include "signals/target_rest.h"
#include "telemetry/event_log.h"
#include "telemetry/metrics.h"

#include <prometheus/counter.h>

#include <algorithm>
#include <chrono>
#include <utility>

// Part of forward_task that handles the target's response and the response to the caller.
namespace snipeshore::apps {

using base::error;
using base::error_kind;
using retries::attempt_result;
using telemetry::severity;

namespace {

/// The response to an idempotent request is buffered completely up to this size, so that the
/// request can be retried on another target if the response is truncated. Aborting the response
/// would also end the requests pipelined behind it on the caller's connection.
constexpr std::uint64_t max_buffered_bytes = 32U << 10U;

constexpr int status_misdirected = 421;
constexpr int first_failure_status = 500;
constexpr int first_success_status = 200;
constexpr int first_redirect_status = 300;

double to_milliseconds(base::duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

/// A full target may reject requests; one that rejects them while it reports free slots is faulty.
bool rejects_despite_free_slots(const pooled_target& target)
{
    return target.reported_load < target.entry.slots;
}

} // namespace

bool forward_task::matches_request(const http::response_head& head) const
{
    const wire_names& names = m_context.settings.names;
    const auto id = http::find_header(head.headers, names.request_id);
    // Targets echo the id in all responses; one without it may be the copy of an earlier response
    // on the same connection, whatever it says about having run.
    if (id.value_or("") != m_id) {
        return false;
    }
    const bool is_success =
        head.status >= first_success_status && head.status < first_redirect_status;
    if (!is_success || names.seal.empty()) {
        return true;
    }
    return id.has_value() && http::find_header(head.headers, names.seal).has_value();
}

bool forward_task::is_misdirected(const http::response_head& head) const
{
    const wire_names& names = m_context.settings.names;
    const bool is_sealed = http::find_header(head.headers, names.seal).has_value();
    const bool is_not_run = http::find_header(head.headers, names.not_run).has_value();
    return head.status == status_misdirected && (is_not_run || !is_sealed);
}

void forward_task::on_head(const http::response_head& head)
{
    const wire_names& names = m_context.settings.names;
    const base::time_point now = base::boot_clock::now();
    m_last_byte_at = now;
    reachability::on_response(m_context.reach, now);
    pooled_target* target = current_target();
    if (target != nullptr) {
        target->last_response_at = now;
    }
    if (!matches_request(head)) {
        m_may_have_run = true;
        ++m_sent_attempts;
        record_given_up();
        fail_attempt(attempt_result::broken, "response belongs to another request");
        return;
    }
    // A misdirected request was answered by another target than the one it was sent to.
    if (target != nullptr && !is_misdirected(head)) {
        record_target_alive(m_context, m_target);
        apply_limit_header(m_context, *target, http::find_header(head.headers, names.limit), now);
        apply_signals(m_context, *target, head, now);
    }
    const auto load = http::find_header(head.headers, names.load);
    const bool has_report =
        load.has_value() && target != nullptr && apply_load_report(*target, *load, now);
    const bool is_not_run = http::find_header(head.headers, names.not_run).has_value();
    if (is_not_run || is_misdirected(head)) {
        ++m_sent_attempts;
        if (target != nullptr) {
            on_not_run(*target, m_sent);
        }
        if (target != nullptr && is_misdirected(head)) {
            target->is_misdirected = true;
        } else if (target != nullptr && !has_report && !rejects_despite_free_slots(*target)) {
            on_rejected(*target, now);
        }
        fail_attempt(attempt_result::rejected,
                     "target rejected the request with status " + std::to_string(head.status));
        return;
    }
    m_may_have_run = true;
    ++m_sent_attempts;
    const bool is_retried =
        head.status >= first_failure_status && plan_next(attempt_result::error_response).retry;
    if (is_retried || !retries::may_pass_on(head.status, make_progress())) {
        fail_attempt(attempt_result::error_response,
                     "target failed with status " + std::to_string(head.status));
        return;
    }
    m_status = head.status;
    if (should_buffer(head)) {
        m_buffered_head = head;
        return;
    }
    start_streaming(head);
}

bool forward_task::should_buffer(const http::response_head& head) const
{
    return is_idempotent() && m_exchange->head().method == "GET" &&
           head.content_length.value_or(max_buffered_bytes + 1) <= max_buffered_bytes;
}

void forward_task::start_streaming(const http::response_head& head)
{
    cancel_abandon();
    m_is_streaming = true;
    m_stream = std::make_shared<response_stream>(m_exchange, m_context.buffers);
    m_stream->start(head);
}

void forward_task::on_body(std::string_view chunk)
{
    m_response_bytes += chunk.size();
    m_last_byte_at = base::boot_clock::now();
    if (m_buffered_head.has_value()) {
        m_buffered_body.append(chunk);
    } else if (m_is_streaming && m_stream != nullptr && m_call != nullptr) {
        m_stream->write(chunk, *m_call);
    }
}

void forward_task::on_end(const http::call_end& end)
{
    if (base::is_ok(end.outcome)) {
        on_complete();
        return;
    }
    const error& cause = base::error_of(end.outcome);
    const bool is_late = cause.kind == error_kind::deadline_exceeded;
    if (end.request_sent && is_late) {
        record_given_up();
    } else if (end.request_sent) {
        record_break();
    }
    if (m_is_streaming) {
        abort_streaming(cause);
        return;
    }
    if (cause.kind == error_kind::cancelled) {
        end_unwanted();
        return;
    }
    if (!end.request_sent) {
        ++m_unsent_attempts;
        check_target();
        if (cause.kind == error_kind::connect_failed) {
            reachability::on_connect_failed(m_context.reach, m_target, base::boot_clock::now());
            m_context.update_reach();
        }
        fail_attempt(attempt_result::not_sent, cause.detail);
        return;
    }
    count_sent();
    if (is_late) {
        fail_attempt(attempt_result::timed_out, retries::describe(find_delay_cause()));
        return;
    }
    fail_attempt(attempt_result::broken, cause.detail);
}

void forward_task::abort_streaming(const error& cause)
{
    attempt_result result = attempt_result::broken;
    std::string_view detail = cause.detail;
    std::string_view outcome = "answer_cut";
    if (cause.kind == error_kind::deadline_exceeded) {
        const retries::delay_cause delay = find_delay_cause();
        result = attempt_result::timed_out;
        detail = retries::describe(delay);
        outcome = retries::to_string(delay);
    }
    record_target_failure(result, detail);
    end_attempt(failed_service_time(result));
    m_stream->abort();
    record_end(m_status, outcome);
    finish_task();
}

retries::delay_cause forward_task::find_delay_cause() const
{
    retries::response_progress progress{m_last_byte_at, {}};
    if (m_stream != nullptr) {
        progress.pauses = m_stream->pauses();
    }
    return retries::find_delay_cause(progress, base::boot_clock::now());
}

bool forward_task::has_answered_others(const pooled_target& target) const
{
    return target.last_response_at > m_last_byte_at.value_or(m_sent_at);
}

std::optional<base::duration> forward_task::service_time() const
{
    if (m_stream != nullptr && m_stream->pauses().was_paused) {
        return std::nullopt;
    }
    return base::boot_clock::now() - m_sent_at;
}

std::optional<base::duration> forward_task::failed_service_time(attempt_result result) const
{
    const bool is_slow = result == attempt_result::timed_out &&
                         find_delay_cause() == retries::delay_cause::slow_target;
    return is_slow ? service_time() : std::nullopt;
}

void forward_task::count_sent()
{
    m_may_have_run = true;
    if (!m_buffered_head.has_value()) {
        ++m_sent_attempts; // The attempt is already counted once the response head was received.
    }
}

void forward_task::on_complete()
{
    if (m_stream == nullptr && !m_buffered_head.has_value()) {
        return;
    }
    if (pooled_target* target = current_target(); target != nullptr) {
        if (m_status >= first_failure_status) {
            on_failure(pool_of(m_context, m_service), *target, false, base::boot_clock::now());
        } else {
            on_success(*target);
        }
        signals::on_completed(target->signals, target->entry.slots, base::boot_clock::now());
    }
    const bool is_success = m_status < first_failure_status;
    if (is_success) {
        record_transfer();
    }
    end_attempt(is_success ? service_time() : std::nullopt);
    if (const auto cleared = crash_evidence::on_response_completed(m_context.crashes, m_fingerprint,
                                                                   base::boot_clock::now())) {
        publish(m_context, {*cleared});
    }
    if (m_buffered_head.has_value()) {
        m_exchange->respond(std::move(*m_buffered_head), std::move(m_buffered_body));
        record_end(m_status, "answered");
        finish_task();
        return;
    }
    m_stream->detach_call();
    m_stream->finish([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->record_end(self->m_status, "answered");
            self->finish_task();
        }
    });
}

void forward_task::record_break()
{
    const pooled_target* target = current_target();
    crash_evidence::on_connection_broken(
        m_context.crashes, {m_target, m_fingerprint, m_sent_at, base::boot_clock::now(),
                            target == nullptr ? 0 : target->entry.started_ms});
    check_target();
}

void forward_task::check_target()
{
    const pooled_target* target = current_target();
    if (target == nullptr || !crash_evidence::has_open_runs(m_context.crashes, m_target)) {
        return;
    }
    apps::check_target(m_context, m_target, target->entry.address);
}

void forward_task::record_given_up()
{
    const pooled_target* target = current_target();
    if (target == nullptr || m_call == nullptr || !m_call->request_sent()) {
        return;
    }
    crash_evidence::on_given_up(m_context.crashes,
                                {m_target, target->entry.started_ms, target->entry.address},
                                {m_fingerprint, m_sent_at, base::boot_clock::now(), false});
}

void forward_task::record_transfer()
{
    if (const pooled_target* target = current_target(); target != nullptr) {
        on_transferred(pool_of(m_context, m_service), *target, m_sent,
                       m_exchange->body().size() + m_response_bytes, base::boot_clock::now());
    }
}

void forward_task::end_attempt(std::optional<base::duration> service_time)
{
    if (pooled_target* target = current_target(); target != nullptr) {
        on_ended(pool_of(m_context, m_service), *target, m_sent, service_time,
                 base::boot_clock::now());
    }
    m_response_bytes = 0;
    m_target = {};
}

void forward_task::record_target_failure(attempt_result result, std::string_view cause)
{
    pooled_target* target = current_target();
    if (target == nullptr ||
        (result == attempt_result::rejected && !rejects_despite_free_slots(*target))) {
        return;
    }
    if (result == attempt_result::timed_out &&
        (has_answered_others(*target) ||
         find_delay_cause() != retries::delay_cause::silent_target)) {
        return; // It is at work on this or other requests, so it is busy rather than broken.
    }
    const base::time_point now = base::boot_clock::now();
    const bool has_responded =
        result == attempt_result::rejected || result == attempt_result::error_response;
    if (has_responded && signals::return_time(target->signals, now).has_value()) {
        return; // It has asked for a rest, which it gets.
    }
    const bool is_hard = result == attempt_result::not_sent ||
                         result == attempt_result::timed_out || result == attempt_result::broken;
    if (on_failure(pool_of(m_context, m_service), *target, is_hard, now)) {
        if (result == attempt_result::not_sent) {
            on_unreachable(m_context.pools.at(m_service), *target);
        }
        telemetry::log_event(
            severity::warning, "target_ejected",
            {{"target", target->entry.id.value()},
             {"service", m_service.value()},
             {"cause", cause},
             {"for_ms", to_milliseconds(target->ejected_until - now)},
             {"failures_in_row", static_cast<std::uint64_t>(target->failures_in_row)}});
        m_context.metrics
            .counter("snipeshore_target_ejections_total", "Targets ejected after failures.")
            .Increment();
    }
}

void forward_task::fail_attempt(attempt_result result, std::string_view cause)
{
    const std::string detail(cause);
    const base::time_point now = base::boot_clock::now();
    cancel_abandon();
    m_buffered_head.reset();
    m_buffered_body.clear();
    // A request that may have ended two targets in a row is not sent to a third one at once.
    const bool is_suspect = result == attempt_result::broken &&
                            (m_is_trial || crash_evidence::has_crashed_before(
                                               m_context.crashes, m_fingerprint, m_sent_at));
    record_target_failure(result, detail);
    const base::target_id target = m_target;
    end_attempt(failed_service_time(result));
    const auto call = std::move(m_call);
    if (result == attempt_result::not_sent && hand_over()) {
        return;
    }
    retries::next_step step = plan_next(result);
    retries::retry_budget& budget = pool_of(m_context, m_service).budget;
    step.retry = step.retry && !is_suspect;
    const bool has_budget = !step.retry || !step.needs_budget || retries::try_spend(budget, now);
    step.retry = step.retry && has_budget;
    m_context.metrics
        .counter("snipeshore_attempt_failures_total", "Attempts without a usable response.",
                 {{"service", m_service.value()},
                  {"retry", step.retry   ? "yes"
                            : has_budget ? "no"
                                         : "no_budget"}})
        .Increment();
    telemetry::log_event(severity::info, "attempt_failed",
                         {{"request_id", m_id},
                          {"target", target.value()},
                          {"service", m_service.value()},
                          {"cause", detail},
                          {"took_ms", to_milliseconds(now - m_sent_at)},
                          {"may_have_run", m_may_have_run},
                          {"retry", step.retry},
                          {"budget", has_budget},
                          {"suspect", is_suspect}});
    if (step.retry) {
        send_to_target();
        return;
    }
    refuse({step.error, detail});
}

retries::request_progress forward_task::make_progress() const
{
    retries::request_progress progress;
    progress.idempotent = is_idempotent();
    progress.max_attempts = m_route->max_attempts;
    progress.sent_attempts = m_sent_attempts;
    progress.unsent_attempts = m_unsent_attempts;
    progress.may_have_run = m_may_have_run;
    progress.time_left = m_deadline - base::boot_clock::now();
    progress.expected = m_context.pools.at(m_service).times.all.mean;
    return progress;
}

retries::next_step forward_task::plan_next(attempt_result result) const
{
    return retries::decide_next(result, make_progress());
}

bool forward_task::hand_over()
{
    if (m_may_have_run || !m_context.relay(m_exchange, *m_route, m_account)) {
        return false;
    }
    cancel_abandon();
    m_call.reset();
    end_attempt(std::nullopt);
    if (m_has_token) {
        // The other host takes a token of its own.
        limits::return_token(m_context.shares[m_account->id], base::boot_clock::now());
    }
    record_end(0, "handed_over");
    finish_task();
    return true;
}

void forward_task::on_targets_cut()
{
    const bool is_connecting = m_call != nullptr && !m_call->request_sent();
    if (!m_is_finished && is_connecting) {
        hand_over();
    }
}

void forward_task::on_caller_disconnected()
{
    if (m_is_finished) {
        return;
    }
    record_given_up();
    m_call.reset();
    if (!m_target.value().empty()) {
        end_attempt(std::nullopt);
    }
    return_unused_token();
    record_end(0, "caller_gone");
    finish_task();
}

void forward_task::end_by_stop()
{
    if (m_is_finished || m_is_streaming) {
        return;
    }
    m_may_have_run = m_may_have_run || (m_call != nullptr && m_call->request_sent());
    m_call.reset();
    if (!m_target.value().empty()) {
        end_attempt(std::nullopt);
    }
    refuse({m_may_have_run ? error_kind::deadline_exceeded : error_kind::stopping,
            "this host has stopped"});
}

void forward_task::finish_task()
{
    cancel_abandon();
    m_is_finished = true;
    m_context.tasks.erase(shared_from_this());
}

pooled_target* forward_task::current_target() const
{
    return m_target.value().empty() ? nullptr
                                    : find_target(m_context.pools.at(m_service), m_target);
}

} // namespace snipeshore::apps
