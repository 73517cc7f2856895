#include "apps/entry/request_task.h"

#include "apps/common/fleet_state.h"
#include "apps/common/request_headers.h"
#include "apps/common/response_stream.h"
#include "apps/entry/crash_monitor.h"
#include "apps/entry/entry_services.h"
#include "apps/entry/share_manager.h"
#include "apps/entry/ticket_service.h"
#include "balancing/balancer.h"
#include "balancing/types/outcome.h"
#include "base/error_response.h"
#include "base/hash.h"
#include "config/types/document.h"
#include "http/exchange.h"
#include "http/loop.h"
#include "retries/decide.h"
#include "retries/quarantine.h"
#include "retries/response_progress.h"
#include "retries/retry_budget.h"
#include "targets/forwarded_head.h"
#include "targets/response_signals.h"
#include "telemetry/event_log.h"
#include "telemetry/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <sodium.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace snipeshore::apps {

namespace {

using base::error;
using base::error_kind;

constexpr std::size_t max_cached_response_bytes = 64U << 10U;

std::chrono::seconds round_up_to_seconds(base::duration wait)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(wait);
    return std::max(seconds, std::chrono::seconds(1));
}

std::string traceparent_of(const http::request_head& head)
{
    targets::trace_random random;
    randombytes_buf(&random, sizeof random);
    return targets::make_traceparent(http::find_header(head.headers, "traceparent"), random);
}

balancing::outcome outcome_of(int status)
{
    return status >= 500 ? balancing::outcome::failure : balancing::outcome::success;
}

/// Outcome of a response that was incomplete at its deadline.
balancing::outcome outcome_of(retries::delay_cause delay)
{
    switch (delay) {
    case retries::delay_cause::silent_target:
        return balancing::outcome::failure;
    case retries::delay_cause::slow_target:
        return balancing::outcome::success; // The balancer learns the time that the target takes.
    case retries::delay_cause::slow_caller:
        break;
    }
    return balancing::outcome::cancelled;
}

} // namespace

base::time_point body_deadline(const entry_services& services, const http::request_head& head,
                               base::time_point arrived)
{
    const auto& config = services.fleet.config;
    std::chrono::milliseconds limit = config::route{}.deadline;
    if (config != nullptr) {
        const auto match = match_route(*config, head.authority, head.method, head.path);
        limit = base::is_ok(match) ? base::value_of(match).route->deadline : limit;
    }
    // An invalid deadline is refused when the body is complete.
    const auto time = deadline_of(head, limit);
    return arrived + (base::is_ok(time) ? base::value_of(time) : limit);
}

std::pair<http::response_head, std::string> refuse_unfinished(entry_services& services,
                                                              const http::request_head& head)
{
    const error cause{error_kind::request_incomplete,
                      "the deadline passed before the body was complete"};
    const std::string id = request_id_of(head);
    const std::string_view kind = base::response_for(cause.kind).name;
    services.metrics
        .counter("snipeshore_requests_total", "Requests by service and outcome.",
                 {{"service", "unknown"}, {"outcome", std::string(kind)}})
        .Increment();
    telemetry::log_event(telemetry::severity::info, "refused",
                         {{"request_id", id}, {"kind", kind}, {"cause", cause.detail}});
    // For a request with a ticket, "not run" would cover all requests with that ticket.
    const bool not_run = !http::find_header(head.headers, "snipeshore-ticket").has_value();
    return {refusal_head(cause, not_run, id, std::chrono::seconds(0)),
            base::error_body(cause, id, not_run)};
}

void request_task::start(entry_services& services, std::shared_ptr<http::exchange> exchange)
{
    const auto task = std::make_shared<request_task>(services, std::move(exchange));
    services.tasks.insert(task);
    task->run();
}

request_task::request_task(entry_services& services, std::shared_ptr<http::exchange> exchange)
    : m_services(services), m_exchange(std::move(exchange)), m_config(services.fleet.config),
      m_arrived(m_exchange->received_at())
{}

request_task::~request_task() = default;

void request_task::run()
{
    m_request_id = request_id_of(m_exchange->head());
    m_traceparent = traceparent_of(m_exchange->head());
    m_exchange->on_closed([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->on_caller_disconnected();
        }
    });
    if (m_services.tasks.size() > m_services.max_tasks) {
        refuse({error_kind::overloaded, "too many requests in progress on this host"});
        return;
    }
    if (m_config == nullptr) {
        refuse({error_kind::not_ready, "this host has no configuration yet"});
        return;
    }
    const base::status resolved = resolve();
    if (!base::is_ok(resolved)) {
        refuse(base::error_of(resolved));
        return;
    }
    // The host name selects the service.
    m_fingerprint = retries::fingerprint(m_account.value(), m_match.service->id.value(),
                                         m_exchange->head().method, m_exchange->head().path,
                                         m_exchange->body());
    if (is_non_idempotent()) {
        claim_ticket();
        return;
    }
    admit();
}

base::status request_task::resolve()
{
    base::status step = resolve_route();
    if (base::is_ok(step)) {
        step = resolve_account();
    }
    if (base::is_ok(step)) {
        step = resolve_deadline();
    }
    return step;
}

base::status request_task::resolve_route()
{
    const http::request_head& head = m_exchange->head();
    const base::result<matched_route> match =
        match_route(*m_config, head.authority, head.method, head.path);
    if (!base::is_ok(match)) {
        return base::error_of(match);
    }
    m_match = base::value_of(match);
    const std::uint64_t limit = m_match.route->max_request.value();
    if (m_exchange->body().size() > limit) {
        return error{error_kind::request_too_large,
                     "the body has " + std::to_string(m_exchange->body().size()) +
                         " bytes, the limit of the route is " + std::to_string(limit)};
    }
    const auto pool = m_services.pools.find(m_match.service->id);
    if (pool == m_services.pools.end()) {
        return error{error_kind::not_ready, "the service is not loaded on this host yet"};
    }
    m_pool = &pool->second;
    return std::monostate{};
}

base::status request_task::resolve_account()
{
    if (m_match.route->who == config::access::open) {
        return std::monostate{};
    }
    const base::result<base::account_id> account = authenticate(
        m_services.fleet, m_services.identity.fleet_secret, m_exchange->head(), m_arrived);
    if (!base::is_ok(account)) {
        return base::error_of(account);
    }
    m_account = base::value_of(account);
    return check_service_allowed(*m_config, m_account, m_match.service->id);
}

base::status request_task::resolve_deadline()
{
    const base::result<std::chrono::milliseconds> limit =
        deadline_of(m_exchange->head(), m_match.route->deadline);
    if (!base::is_ok(limit)) {
        return base::error_of(limit);
    }
    m_deadline = m_arrived + base::value_of(limit);
    return std::monostate{};
}

void request_task::claim_ticket()
{
    const auto ticket = http::find_header(m_exchange->head().headers, "snipeshore-ticket");
    if (!ticket.has_value()) {
        refuse({error_kind::ticket_missing,
                "route " + m_match.route->path_prefix +
                    " requires a ticket; request one from the look-up with once=1"});
        return;
    }
    m_claim = std::make_shared<ticket_claim>();
    m_claim->encoded_ticket = std::string(*ticket);
    m_services.tickets.claim(
        m_claim, m_account, m_deadline,
        [weak = weak_from_this(), claim = m_claim,
         &service = m_services.tickets](const base::result<tickets::claim_result>& outcome) {
            const auto self = weak.lock();
            if (self != nullptr && !self->m_has_finished) {
                self->on_claim(outcome);
                return;
            }
            // The caller disconnected in the meantime and nothing was sent to a target.
            const bool granted = base::is_ok(outcome) &&
                                 base::value_of(outcome).verdict == tickets::claim_verdict::granted;
            if (granted) {
                service.release(*claim);
            }
        });
}

void request_task::on_claim(const base::result<tickets::claim_result>& outcome)
{
    if (!base::is_ok(outcome)) {
        refuse(base::error_of(outcome));
        return;
    }
    const tickets::claim_result& result = base::value_of(outcome);
    if (result.verdict == tickets::claim_verdict::done && result.response != nullptr) {
        replay(*result.response);
        return;
    }
    if (result.verdict != tickets::claim_verdict::granted) {
        refuse({error_kind::outcome_unknown,
                "a request with this ticket ran, but its response is not cached"});
        return;
    }
    m_is_claim_held = true;
    admit();
}

void request_task::replay(const tickets::cached_response& response)
{
    http::response_head head;
    head.status = response.status;
    for (const auto& [name, value] : response.headers) {
        head.headers.push_back({name, value});
    }
    head.headers.push_back({"snipeshore-replayed", "1"});
    head.headers.push_back({"snipeshore-request-id", m_request_id});
    m_exchange->respond(std::move(head), response.body);
    record_end(response.status, "replayed");
    finish_task();
}

void request_task::admit()
{
    const auto suspicion = m_services.crashes.suspicion_of(m_fingerprint);
    if (suspicion == retries::suspicion::quarantined) {
        refuse({error_kind::quarantined, "requests like this one crashed their targets"});
        return;
    }
    if (m_account.value().empty()) {
        limits::admission admitted;
        admitted.verdict = limits::admit_verdict::admitted;
        on_admission(admitted);
        return;
    }
    m_wait_id = m_services.shares.admit(
        m_account, [weak = weak_from_this()](const limits::admission& verdict) {
            const auto self = weak.lock();
            if (self != nullptr && !self->m_has_finished) {
                self->m_wait_id = 0;
                self->on_admission(verdict);
            }
        });
}

void request_task::on_admission(const limits::admission& verdict)
{
    switch (verdict.verdict) {
    case limits::admit_verdict::admitted:
        retries::record_request(m_pool->budget, base::boot_clock::now());
        send_to_target();
        return;
    case limits::admit_verdict::account_unknown:
        refuse({error_kind::key_unknown,
                "the client account of the key is not in the current configuration"});
        return;
    case limits::admit_verdict::overloaded:
        refuse({error_kind::overloaded, "too many active client accounts on this host"});
        return;
    case limits::admit_verdict::wait:
    case limits::admit_verdict::rate_exceeded:
        break;
    }
    m_retry_after = round_up_to_seconds(verdict.retry_after);
    refuse({error_kind::rate_exceeded,
            "client account " + m_account.value() + " has exceeded its rate and burst"});
}

base::result<std::uint32_t> request_task::choose_target()
{
    std::vector<std::uint32_t> excluded = m_tried_targets;
    // Only suspect requests are restricted: two of them must not run on the same target.
    const bool is_suspect =
        m_services.crashes.suspicion_of(m_fingerprint) != retries::suspicion::none;
    for (std::uint32_t index = 0; is_suspect && index < m_pool->running_fingerprints.size();
         ++index) {
        if (!m_services.crashes.may_run_beside(m_fingerprint,
                                               m_pool->running_fingerprints[index])) {
            excluded.push_back(index);
        }
    }
    balancing::request_info info;
    info.hash = base::stable_hash(m_request_id);
    info.allow_trial = !is_non_idempotent();
    info.excluded = excluded;
    return balancing::choose(m_pool->balancer, info, base::boot_clock::now());
}

void request_task::send_to_target()
{
    if (!m_exchange->is_caller_connected()) {
        on_caller_disconnected();
        return;
    }
    if (base::boot_clock::now() >= m_deadline) {
        refuse({m_has_sent ? error_kind::deadline_exceeded : error_kind::deadline_not_run,
                "the deadline of the request has passed"});
        return;
    }
    const base::result<std::uint32_t> target = choose_target();
    if (!base::is_ok(target)) {
        refuse(m_has_sent
                   ? error{error_kind::target_failed, "no other target can accept the request"}
                   : base::error_of(target));
        return;
    }
    start_call(base::value_of(target));
}

void request_task::start_call(std::uint32_t target)
{
    const base::time_point now = base::boot_clock::now();
    const unsigned number = ++m_attempt_count;
    m_tried_targets.push_back(target);
    balancing::on_start(m_pool->balancer, target, now);
    add_running(*m_pool, target, m_fingerprint);

    http::client_request request;
    request.address = m_pool->addresses[target];
    const std::string id = make_attempt_id();
    request.head = targets::make_forwarded_head(
        m_exchange->head(), {m_account, m_request_id, m_deadline, now, m_traceparent, id});
    request.body = std::string(m_exchange->body());
    request.deadline = m_deadline;
    // Without the echo, only a connection of its own shows that a response belongs to the request.
    const bool expects_echo = m_pool->echoes_attempts[target];
    request.needs_new_connection = is_non_idempotent() && !expects_echo;
    m_open_attempts.push_back({number, target, now, id, expects_echo, std::nullopt, nullptr});
    m_open_attempts.back().call =
        m_services.client.send(std::move(request), make_callbacks(number));
    consider_hedge();
}

http::call_callbacks request_task::make_callbacks(unsigned number)
{
    http::call_callbacks callbacks;
    const auto weak = weak_from_this();
    callbacks.on_head = [weak, number](const http::response_head& head) {
        if (const auto self = weak.lock()) {
            self->on_head(number, head);
        }
    };
    callbacks.on_body = [weak, number](std::string_view chunk) {
        if (const auto self = weak.lock()) {
            self->on_body(number, chunk);
        }
    };
    callbacks.on_end = [weak, number](const http::call_end& end) {
        if (const auto self = weak.lock()) {
            self->on_end(number, end);
        }
    };
    return callbacks;
}

void request_task::consider_hedge()
{
    if (m_open_attempts.empty() || m_stream != nullptr || m_has_finished) {
        return;
    }
    const base::time_point now = base::boot_clock::now();
    const retries::slow_request slow{!is_non_idempotent(),
                                     m_match.route->hedge,
                                     m_is_hedged,
                                     m_stream != nullptr,
                                     m_open_attempts.front().started,
                                     m_deadline,
                                     p95_of(m_pool->latencies)};
    const retries::hedge_decision decision = retries::decide_hedge(slow, m_pool->budget, now);
    if (!decision.hedge) {
        if (decision.next_check < m_deadline) {
            m_services.loop.schedule(decision.next_check, [weak = weak_from_this()] {
                if (const auto self = weak.lock()) {
                    self->consider_hedge();
                }
            });
        }
        return;
    }
    const base::result<std::uint32_t> other = choose_target();
    if (!base::is_ok(other)) {
        return;
    }
    m_is_hedged = true;
    m_services.metrics
        .counter("snipeshore_hedges_total", "Hedges sent for slow idempotent requests.")
        .Increment();
    start_call(base::value_of(other));
}

void request_task::on_head(unsigned number, const http::response_head& head)
{
    m_has_sent = true;
    attempt* current = find_attempt(number);
    if (current == nullptr || m_winner != 0) {
        return;
    }
    current->last_byte_at = base::boot_clock::now();
    if (!is_own_response(*current, head)) {
        end_attempt(number, balancing::outcome::failure);
        decide_after_failure(
            {error_kind::answer_invalid, "the target's response belongs to another request"});
        return;
    }
    const targets::response_signals signals = targets::read_signals(head);
    if (signals.is_draining) {
        set_announced_leaving(*m_pool, current->target, true);
    }
    if (signals.retry_after.value_or(std::chrono::seconds(0)).count() > 0) {
        balancing::on_rest(m_pool->balancer, current->target,
                           {*signals.retry_after, m_services.fleet.config->hosts.size(),
                            base::stable_hash(current->id)},
                           base::boot_clock::now());
    }
    if (signals.is_shed && retry_after_shed(number, head)) {
        return;
    }
    m_is_shed = signals.is_shed;
    m_winner = number;
    end_other_attempts(number);
    const std::uint64_t limit = m_match.route->max_answer.value();
    if (head.content_length.value_or(0) > limit) {
        m_winner = 0;
        end_attempt(number, balancing::outcome::failure);
        decide_after_failure({error_kind::answer_invalid,
                              "the target's response has " + std::to_string(*head.content_length) +
                                  " bytes, the limit of the route is " + std::to_string(limit)});
        return;
    }
    m_status = head.status;
    http::response_head passed_on = targets::make_returned_head(head);
    if (is_non_idempotent()) {
        m_cached_response.status = static_cast<std::uint16_t>(head.status);
        for (const http::header& header : passed_on.headers) {
            m_cached_response.headers.emplace_back(header.name, header.value);
        }
    }
    passed_on.headers.push_back({"snipeshore-request-id", m_request_id});
    passed_on.headers.push_back({"snipeshore-host", m_services.identity.host.value()});
    m_stream = std::make_shared<response_stream>(m_exchange, m_services.buffers);
    m_stream->start(std::move(passed_on));
}

bool request_task::is_own_response(const attempt& current, const http::response_head& head)
{
    const targets::response_origin origin = targets::origin_of(head, current.id);
    // After a change of version a target may no longer echo ids; its later attempts expect none.
    m_pool->echoes_attempts[current.target] = origin != targets::response_origin::unknown;
    return origin == targets::response_origin::own ||
           (origin == targets::response_origin::unknown && !current.expects_echo);
}

bool request_task::retry_after_shed(unsigned number, const http::response_head& shed)
{
    if (is_non_idempotent()) {
        return false;
    }
    if (m_open_attempts.size() > 1) {
        end_attempt(number, balancing::outcome::load_shed);
        return true;
    }
    const retries::failed_attempt failed{true,
                                         true,
                                         false,
                                         m_deadline,
                                         p95_of(m_pool->latencies),
                                         m_attempt_count,
                                         error_kind::target_failed};
    if (!retries::decide_retry(failed, m_pool->budget, base::boot_clock::now()).retry) {
        return false;
    }
    const base::result<std::uint32_t> other = choose_target();
    if (!base::is_ok(other)) {
        return false;
    }
    telemetry::log_event(telemetry::severity::info, "retry_after_shed",
                         {{"request_id", m_request_id}, {"status", shed.status}});
    end_attempt(number, balancing::outcome::load_shed);
    start_call(base::value_of(other));
    return true;
}

void request_task::on_body(unsigned number, std::string_view chunk)
{
    attempt* current = find_attempt(number);
    if (m_stream == nullptr || current == nullptr || number != m_winner) {
        return;
    }
    current->last_byte_at = base::boot_clock::now();
    if (is_non_idempotent() && !m_is_response_too_large_to_cache) {
        m_is_response_too_large_to_cache =
            m_cached_response.body.size() + chunk.size() > max_cached_response_bytes;
        if (!m_is_response_too_large_to_cache) {
            m_cached_response.body.append(chunk);
        }
    }
    if (m_is_caller_disconnected) {
        return;
    }
    m_stream->write(chunk, *current->call);
    if (m_stream->bytes() > m_match.route->max_answer.value()) {
        m_stream->abort();
        end_attempt(number, balancing::outcome::failure);
        record_end(m_status, base::response_for(error_kind::answer_invalid).name);
        finish_task();
    }
}

void request_task::on_end(unsigned number, const http::call_end& end)
{
    m_has_sent = m_has_sent || end.request_sent;
    const attempt* current = find_attempt(number);
    if (current == nullptr) {
        return;
    }
    if (base::is_ok(end.outcome)) {
        on_complete(number);
        return;
    }
    const error cause = base::error_of(end.outcome);
    if (m_stream != nullptr) {
        abort_streaming(*current, cause);
        return;
    }
    const bool is_broken = end.request_sent && (cause.kind == error_kind::target_failed ||
                                                cause.kind == error_kind::answer_invalid);
    if (is_broken) {
        on_connection_broken(number, cause);
        return;
    }
    end_attempt(number, balancing::outcome::failure);
    decide_after_failure(cause);
}

void request_task::abort_streaming(const attempt& current, const error& cause)
{
    const bool is_late = cause.kind == error_kind::deadline_exceeded;
    const retries::delay_cause delay = retries::find_delay_cause(
        {current.last_byte_at, m_stream->pauses()}, base::boot_clock::now());
    m_stream->abort();
    end_attempt(current.number, is_late ? outcome_of(delay) : balancing::outcome::failure);
    record_end(m_status, is_late ? retries::to_string(delay) : base::response_for(cause.kind).name);
    finish_task();
}

void request_task::on_complete(unsigned number)
{
    const attempt* current = find_attempt(number);
    // The time of a response that its caller delayed says nothing about the target.
    const bool is_delayed = m_stream->pauses().was_paused;
    if (!is_delayed) {
        add_latency(m_pool->latencies, base::boot_clock::now() - current->started);
    }
    m_stream->detach_call();
    const bool is_success = outcome_of(m_status) == balancing::outcome::success;
    end_attempt(number, m_is_shed                  ? balancing::outcome::load_shed
                        : is_success && is_delayed ? balancing::outcome::cancelled
                                                   : outcome_of(m_status));
    m_services.crashes.on_success(m_fingerprint);
    if (is_non_idempotent() && !m_is_response_too_large_to_cache) {
        m_services.tickets.complete(*m_claim, std::move(m_cached_response));
    }
    if (m_is_caller_disconnected) {
        record_end(m_status, "caller_gone");
        finish_task();
        return;
    }
    m_stream->finish([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->record_end(self->m_status, "ok");
            self->finish_task();
        }
    });
}

void request_task::on_connection_broken(unsigned number, const error& cause)
{
    const std::uint32_t target = find_attempt(number)->target;
    crash_monitor::broken_connection broken{m_pool->balancer.targets[target].info.id.value(),
                                            m_pool->addresses[target], m_match.service->health_path,
                                            m_pool->running_fingerprints[target]};
    end_attempt(number, balancing::outcome::failure);
    m_services.crashes.on_broken_connection(std::move(broken), [weak = weak_from_this(), cause] {
        const auto self = weak.lock();
        if (self != nullptr && !self->m_has_finished) {
            self->decide_after_failure(cause);
        }
    });
}

request_task::attempt* request_task::find_attempt(unsigned number)
{
    const auto found =
        std::find_if(m_open_attempts.begin(), m_open_attempts.end(),
                     [&](const attempt& candidate) { return candidate.number == number; });
    return found == m_open_attempts.end() ? nullptr : &*found;
}

void request_task::end_attempt(unsigned number, balancing::outcome result)
{
    const attempt* ended = find_attempt(number);
    if (ended == nullptr) {
        return;
    }
    const base::time_point now = base::boot_clock::now();
    balancing::on_end(m_pool->balancer, ended->target, result, now - ended->started, now);
    remove_running(*m_pool, ended->target, m_fingerprint);
    std::erase_if(m_open_attempts,
                  [&](const attempt& candidate) { return candidate.number == number; });
}

void request_task::end_other_attempts(unsigned winner)
{
    while (m_open_attempts.size() > 1) {
        const bool is_first = m_open_attempts.front().number == winner;
        end_attempt(m_open_attempts[is_first ? 1 : 0].number, balancing::outcome::cancelled);
    }
}

void request_task::end_all_attempts()
{
    while (!m_open_attempts.empty()) {
        end_attempt(m_open_attempts.front().number, balancing::outcome::cancelled);
    }
}

void request_task::decide_after_failure(const error& cause)
{
    if (!m_open_attempts.empty()) {
        return; // The other attempt of a hedged request is still in progress.
    }
    if (m_is_caller_disconnected) {
        record_end(0, base::response_for(cause.kind).name);
        finish_task();
        return;
    }
    if (m_services.crashes.suspicion_of(m_fingerprint) == retries::suspicion::quarantined &&
        !is_non_idempotent()) {
        refuse({error_kind::target_failed,
                "requests like this one crashed their targets; last cause: " + cause.detail});
        return;
    }
    const retries::failed_attempt failed{
        !is_non_idempotent(),      m_has_sent,      m_stream != nullptr, m_deadline,
        p95_of(m_pool->latencies), m_attempt_count, cause.kind};
    const retries::retry_decision decision =
        retries::decide_retry(failed, m_pool->budget, base::boot_clock::now());
    if (decision.retry) {
        send_to_target();
        return;
    }
    refuse({decision.kind, cause.detail});
}

void request_task::on_caller_disconnected()
{
    if (m_has_finished) {
        return;
    }
    m_is_caller_disconnected = true;
    if (m_stream != nullptr) {
        m_stream->detach_call();
    }
    // The response to a non-idempotent request is still read, so that a repeat with the same ticket
    // can be served from the cached response.
    if (is_non_idempotent() && !m_open_attempts.empty()) {
        m_open_attempts.front().call->resume();
        return;
    }
    if (m_wait_id != 0) {
        m_services.shares.cancel(m_account, m_wait_id);
    }
    if (m_is_claim_held && !m_has_sent) {
        m_services.tickets.release(*m_claim);
    }
    end_all_attempts();
    record_end(0, "caller_gone");
    finish_task();
}

void request_task::refuse(const error& cause)
{
    const base::error_response& response = base::response_for(cause.kind);
    if (m_is_claim_held && !m_has_sent) {
        m_services.tickets.release(*m_claim);
    }
    add_refusal(m_services.refusals,
                {base::boot_clock::now(), m_request_id, m_account.value(),
                 m_match.service == nullptr ? std::string() : m_match.service->id.value(), cause});
    const bool not_run = is_known_not_run(cause.kind);
    m_exchange->respond(refusal_head(cause, not_run, m_request_id, m_retry_after),
                        base::error_body(cause, m_request_id, not_run));
    record_end(response.http_status, response.name);
    finish_task();
}

bool request_task::is_known_not_run(error_kind kind) const
{
    // For a request with a ticket, "not run" covers all requests with that ticket. Unless this task
    // holds the claim, earlier ones may have run.
    const bool has_ticket =
        http::find_header(m_exchange->head().headers, "snipeshore-ticket").has_value();
    return base::response_for(kind).not_run && !m_has_sent && (!has_ticket || m_is_claim_held);
}

void request_task::record_end(int status, std::string_view kind)
{
    const std::string service =
        m_match.service == nullptr ? "unknown" : m_match.service->id.value();
    const base::duration took = base::boot_clock::now() - m_arrived;
    m_services.metrics
        .counter("snipeshore_requests_total", "Requests by service and outcome.",
                 {{"service", service}, {"outcome", std::string(kind)}})
        .Increment();
    m_services.metrics
        .latency("snipeshore_request_seconds", "Time from the arrival of a request to its end.",
                 {{"service", service}})
        .Observe(std::chrono::duration<double>(took).count());
    telemetry::log_event(telemetry::severity::info, "request_done",
                         {{"request_id", m_request_id},
                          {"traceparent", m_traceparent},
                          {"account", m_account.value()},
                          {"service", service},
                          {"method", m_exchange->head().method},
                          {"status", status},
                          {"outcome", kind},
                          {"attempts", static_cast<std::uint64_t>(m_attempt_count)},
                          {"took_ms", std::chrono::duration<double, std::milli>(took).count()}});
}

void request_task::finish_task()
{
    m_has_finished = true;
    m_services.tasks.erase(shared_from_this());
}

bool request_task::is_non_idempotent() const
{
    return m_match.route != nullptr && m_match.route->repeats == config::repeat::once;
}

} // namespace snipeshore::apps
