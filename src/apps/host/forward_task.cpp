#include "apps/host/forward_task.h"

#include "affinity/admission.h"
#include "apps/common/response_stream.h"
#include "apps/host/host_context.h"
#include "apps/host/notices.h"
#include "apps/host/request_parts.h"
#include "base/hash.h"
#include "fleet/members.h"
#include "http/exchange.h"
#include "http/loop.h"
#include "limits/fleet_share.h"
#include "prediction/service_times.h"
#include "reachability/target_reach.h"
#include "retries/next_step.h"
#include "retries/quarantine.h"
#include "retries/retry_budget.h"
#include "routing/route_table.h"
#include "signals/target_rest.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace snipeshore::apps {

using base::error;
using base::error_kind;
using retries::attempt_result;

namespace {

/// Subtracted from the time left for the target, so that this host's own response is in time.
constexpr std::chrono::milliseconds response_reserve{10};

/// A stopping host takes a request that must not be repeated only if this multiple of its predicted
/// time is left.
constexpr int once_stop_factor = 2;

/// An idempotent request is retried on another target when the first has taken this multiple of the
/// predicted time, and the latency objective and this fraction of the time left have also passed.
constexpr double slow_attempt_factor = 3.0;
constexpr double min_attempt_fraction = 0.45;

} // namespace

void forward_task::start(host_context& context, std::shared_ptr<http::exchange> exchange)
{
    const auto task = std::make_shared<forward_task>(context, std::move(exchange));
    context.tasks.insert(task);
    task->run();
}

forward_task::forward_task(host_context& context, std::shared_ptr<http::exchange> exchange)
    : m_context(context), m_exchange(std::move(exchange)), m_routes(context.routes),
      m_arrived(m_exchange->received_at())
{}

forward_task::~forward_task() = default;

void forward_task::run()
{
    m_id = http::find_header(m_exchange->head().headers, m_context.settings.names.request_id)
               .value_or("");
    m_exchange->on_closed([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->on_caller_disconnected();
        }
    });
    if (m_context.is_closing) {
        refuse({error_kind::stopping, "this host is stopping"});
        return;
    }
    if (m_routes == nullptr) {
        refuse({error_kind::not_ready, "this host has no configuration yet"});
        return;
    }
    if (m_context.tasks.size() > m_context.max_tasks) {
        refuse({error_kind::overloaded, "too many requests in progress on this host"});
        return;
    }
    const base::status step = resolve();
    if (!base::is_ok(step)) {
        refuse(base::error_of(step));
        return;
    }
    check_quota();
}

base::status forward_task::resolve()
{
    const http::request_head& head = m_exchange->head();
    const wire_names& names = m_context.settings.names;
    const auto route = routing::find_route(*m_routes, head.authority, head.path);
    if (!base::is_ok(route)) {
        return base::error_of(route);
    }
    m_route = base::value_of(route);
    const auto account = account_of(*m_routes, *m_route, head.headers, names.key);
    if (!base::is_ok(account)) {
        return base::error_of(account);
    }
    m_account = base::value_of(account);
    const std::uint64_t random = m_context.random();
    m_service = routing::pick_service(*m_route, random);
    m_object = object_hash(head.headers, names, *m_route, random);
    m_deadline = request_deadline(head.headers, names.time_left, m_route, m_arrived);
    return {};
}

void forward_task::check_quota()
{
    if (m_account == nullptr || m_account->rate <= 0) {
        begin();
        return;
    }
    if (limits::try_acquire(m_context.shares[m_account->id], base::boot_clock::now())) {
        m_has_token = true;
        begin();
        return;
    }
    const bool is_borrowing = m_context.borrow(m_account->id, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self != nullptr && !self->m_is_finished) {
            self->retry_quota();
        }
    });
    if (!is_borrowing) {
        refuse_over_quota();
    }
}

void forward_task::retry_quota()
{
    if (limits::retry_acquire(m_context.shares[m_account->id], base::boot_clock::now())) {
        m_has_token = true;
        begin();
        return;
    }
    refuse_over_quota();
}

void forward_task::refuse_over_quota()
{
    m_retry_after = limits::time_to_token(m_context.shares[m_account->id], base::boot_clock::now());
    refuse({error_kind::rate_exceeded, "the account's rate limit and burst are exhausted"});
}

void forward_task::return_unused_token()
{
    if (m_has_token && m_tried.empty()) {
        m_has_token = false;
        limits::return_token(m_context.shares[m_account->id], base::boot_clock::now());
    }
}

void forward_task::begin()
{
    const http::request_head& head = m_exchange->head();
    m_fingerprint = retries::fingerprint(m_account == nullptr ? "" : m_account->id.value(),
                                         routing::host_name(head.authority), head.method, head.path,
                                         m_exchange->body());
    const base::time_point now = base::boot_clock::now();
    const crash_evidence::quarantine_decision decision = crash_evidence::check_quarantine(
        m_context.crashes, m_fingerprint,
        [this, now] {
            return fleet::is_owner(m_context.members, crash_evidence::subject_of(m_fingerprint),
                                   now);
        },
        now);
    if (!decision.may_run) {
        m_retry_after = decision.retry_after;
        refuse(
            {error_kind::overloaded, "requests with the same fingerprint crashed their targets"});
        return;
    }
    m_is_trial = decision.is_trial;
    if (m_is_trial) {
        publish(m_context, {crash_evidence::trial_notice(m_context.crashes, m_fingerprint)});
    }
    retries::record_request(pool_of(m_context, m_service).budget, now);
    send_to_target();
}

prediction::request_traits forward_task::traits() const
{
    return {base::stable_hash(m_route->name), m_object, m_route->has_affinity, m_route->objective};
}

std::optional<affinity::placement> forward_task::place(base::time_point now) const
{
    const auto allowed = [this](const base::region_id& region) {
        return routing::is_home(*m_route, m_account, region);
    };
    return choose_target(pool_of(m_context, m_service), traits(), m_tried, allowed,
                         m_context.settings.regions, make_view(m_context, now));
}

void forward_task::send_to_target()
{
    if (!m_exchange->is_caller_connected()) {
        on_caller_disconnected();
        return;
    }
    const base::time_point now = base::boot_clock::now();
    const auto placement = place(now);
    if (!placement.has_value()) {
        if (hand_over()) {
            return;
        }
        m_retry_after = signals::spread_delay(
            time_to_room(pool_of(m_context, m_service), now).value_or(base::duration{0}),
            m_context.random());
        refuse({retries::final_error(attempt_result::rejected, m_may_have_run),
                "no target is available for the request"});
        return;
    }
    m_best_target = pool_of(m_context, m_service).targets[placement->target].entry.id;
    m_predicted_wait = placement->wait;
    m_predicted_time = placement->finish;
    const base::status checked = check_placement(*placement);
    if (!base::is_ok(checked)) {
        refuse(base::error_of(checked));
        return;
    }
    start_attempt(*placement);
}

affinity::admission forward_task::decide_admission(const affinity::placement& placement) const
{
    affinity::admission_inputs request;
    request.wait = placement.wait;
    request.service_time = placement.finish - placement.wait;
    request.typical_time =
        prediction::average_time(pool_of(m_context, m_service).times, {}, m_sent_at);
    request.objective = m_route->objective;
    request.time_left = target_deadline() - base::boot_clock::now() - response_reserve;
    request.urgency = routing::urgency_of(*m_routes, routing::rank_of(*m_route, m_account));
    affinity::admission decided = affinity::admit(request);
    decided.admitted = decided.admitted && request.time_left > base::duration{0};
    return decided;
}

base::status forward_task::check_placement(const affinity::placement& placement)
{
    const base::duration needed = placement.finish * (is_idempotent() ? 1 : once_stop_factor);
    if (base::boot_clock::now() + needed > m_context.stop_deadline) {
        return error{m_may_have_run ? error_kind::deadline_exceeded : error_kind::stopping,
                     "this host stops before the request is expected to end"};
    }
    const affinity::admission decided = decide_admission(placement);
    if (decided.admitted) {
        return {};
    }
    m_retry_after = decided.retry_after;
    return error{m_may_have_run ? error_kind::deadline_exceeded : error_kind::no_target,
                 "no target is expected to finish the request within its latency objective or "
                 "deadline"};
}

base::time_point forward_task::attempt_deadline(const affinity::placement& placement,
                                                base::time_point now) const
{
    if (!is_idempotent() || m_sent_attempts + 1 >= m_route->max_attempts) {
        return m_deadline;
    }
    const auto predicted =
        std::chrono::duration_cast<base::duration>(placement.finish * slow_attempt_factor);
    const auto min_time =
        std::chrono::duration_cast<base::duration>((m_deadline - now) * min_attempt_fraction);
    return std::min(m_deadline,
                    now + std::max<base::duration>({predicted, min_time, m_route->objective}));
}

void forward_task::start_attempt(const affinity::placement& placement)
{
    const base::time_point now = base::boot_clock::now();
    target_pool& pool = pool_of(m_context, m_service);
    pooled_target& target = pool.targets[placement.target];
    m_target = target.entry.id;
    m_rank = placement.rank;
    m_sent_at = now;
    m_last_byte_at.reset();
    m_tried.push_back(m_target);
    m_sent = on_sent(pool, target, traits(), placement.wait, now);

    http::client_request request;
    request.address = target.entry.address;
    request.head = make_head(target, now);
    request.body = std::string(m_exchange->body());
    request.deadline = m_deadline;
    // Without an id, only a connection of its own shows that a response belongs to the request.
    request.needs_new_connection = !is_idempotent() && m_id.empty();
    request.before_write = [weak = weak_from_this()](http::request_head& head) {
        const auto self = weak.lock();
        return self != nullptr && self->refresh_before_write(head);
    };
    m_call = m_context.client.send(std::move(request), make_callbacks());
    reachability::on_request_sent(m_context.reach, placement.finish, now);
    m_context.update_reach();
    schedule_abandon(attempt_deadline(placement, now));
}

void forward_task::schedule_abandon(base::time_point time)
{
    if (time >= m_deadline) {
        return;
    }
    m_abandon_timer = m_context.loop.schedule(time, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->m_abandon_timer = 0;
            self->abandon_attempt();
        }
    });
}

void forward_task::cancel_abandon()
{
    if (m_abandon_timer != 0) {
        m_context.loop.cancel(std::exchange(m_abandon_timer, 0));
    }
}

void forward_task::abandon_attempt()
{
    if (m_is_finished || m_is_streaming || m_call == nullptr ||
        !may_abandon(base::boot_clock::now())) {
        return;
    }
    if (!m_call->request_sent()) {
        ++m_unsent_attempts;
        fail_attempt(attempt_result::not_sent, "connection to the target timed out");
        return;
    }
    count_sent();
    record_given_up();
    fail_attempt(attempt_result::timed_out, "target did not respond in time");
}

bool forward_task::may_abandon(base::time_point now)
{
    const pooled_target* target = current_target();
    if (m_context.is_leaving || (target != nullptr && has_answered_others(*target)) ||
        find_delay_cause() != retries::delay_cause::silent_target) {
        return false;
    }
    retries::request_progress progress = make_progress();
    progress.sent_attempts += m_last_byte_at.has_value() ? 0 : 1;
    progress.may_have_run = true;
    if (!retries::decide_next(attempt_result::timed_out, progress).retry) {
        return false;
    }
    target_pool& pool = pool_of(m_context, m_service);
    const auto placement = place(now);
    return retries::has_budget(pool.budget, now) && placement.has_value() &&
           decide_admission(*placement).admitted;
}

http::request_head forward_task::make_head(const pooled_target& target, base::time_point now) const
{
    const wire_names& names = m_context.settings.names;
    const http::request_head& from = m_exchange->head();
    http::request_head head;
    head.method = from.method;
    head.path = from.path;
    head.authority = from.authority;
    head.headers = make_forwarded_headers(from.headers, names);
    head.headers.push_back({names.target, target.entry.id.value()});
    if (m_account != nullptr) {
        head.headers.push_back({names.account, m_account->id.value()});
    }
    head.headers.push_back({names.time_left, format_time_left(now)});
    return head;
}

base::time_point forward_task::target_deadline() const
{
    return std::min(m_deadline, m_context.stop_deadline);
}

std::string forward_task::format_time_left(base::time_point now) const
{
    return std::to_string(
        std::chrono::floor<std::chrono::milliseconds>(target_deadline() - now).count());
}

bool forward_task::refresh_before_write(http::request_head& head) const
{
    const base::time_point now = base::boot_clock::now();
    if (now >= target_deadline() || !m_exchange->is_caller_connected() || has_target_withdrawn()) {
        return false;
    }
    for (http::header& one : head.headers) {
        if (one.name == m_context.settings.names.time_left) {
            one.value = format_time_left(now);
        }
    }
    return true;
}

bool forward_task::has_target_withdrawn() const
{
    const pooled_target* target = current_target();
    if (target == nullptr) {
        return false;
    }
    // The request itself is already counted in `running`.
    const std::uint32_t others = std::max<std::uint32_t>(target->running, 1) - 1;
    return !signals::may_send(target->signals, others, base::boot_clock::now());
}

void forward_task::end_unwanted()
{
    if (!m_exchange->is_caller_connected()) {
        on_caller_disconnected();
        return;
    }
    if (has_target_withdrawn() && base::boot_clock::now() < target_deadline()) {
        const auto call = std::move(m_call);
        cancel_abandon();
        on_not_run(*current_target(), m_sent);
        end_attempt(std::nullopt);
        send_to_target();
        return;
    }
    end_attempt(std::nullopt);
    refuse({m_may_have_run ? error_kind::deadline_exceeded : error_kind::deadline_not_run,
            "the deadline passed before a connection to the target was there"});
}

http::call_callbacks forward_task::make_callbacks()
{
    http::call_callbacks callbacks;
    const auto weak = weak_from_this();
    callbacks.on_head = [weak](const http::response_head& head) {
        if (const auto self = weak.lock()) {
            self->on_head(head);
        }
    };
    callbacks.on_body = [weak](std::string_view chunk) {
        if (const auto self = weak.lock()) {
            self->on_body(chunk);
        }
    };
    callbacks.on_end = [weak](const http::call_end& end) {
        if (const auto self = weak.lock()) {
            self->on_end(end);
        }
    };
    return callbacks;
}

bool forward_task::is_idempotent() const
{
    return m_route->repeats == routing::repeat::idempotent;
}

} // namespace snipeshore::apps
