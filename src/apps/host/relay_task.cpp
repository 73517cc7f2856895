#include "apps/host/relay_task.h"

#include "apps/common/response_stream.h"
#include "apps/host/host_context.h"
#include "apps/host/peer_calls.h"
#include "apps/host/relayed_exchange.h"
#include "apps/host/request_parts.h"
#include "apps/host/request_relay.h"
#include "base/error_response.h"
#include "fleet/host_choice.h"
#include "http/exchange.h"
#include "telemetry/event_log.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace snipeshore::apps {

using base::error;
using base::error_kind;
using telemetry::severity;

namespace {

/// The other host answers by the request's deadline; its answer may take this long to arrive.
constexpr std::chrono::milliseconds answer_margin{150};

} // namespace

relay_task::relay_task(host_context& context, request_relay& relay,
                       std::shared_ptr<http::exchange> exchange, base::time_point deadline,
                       std::vector<fleet::member> hosts)
    : m_context(context), m_relay(relay), m_exchange(std::move(exchange)),
      m_arrived(m_exchange->received_at()), m_deadline(deadline), m_hosts(std::move(hosts))
{}

relay_task::~relay_task() = default;

void relay_task::start()
{
    m_id = http::find_header(m_exchange->head().headers, m_context.settings.names.request_id)
               .value_or("");
    m_exchange->on_closed([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->on_caller_disconnected();
        }
    });
    send_to_next_host();
}

void relay_task::send_to_next_host()
{
    if (!m_exchange->is_caller_connected()) {
        on_caller_disconnected();
        return;
    }
    if (m_hosts.empty()) {
        refuse({error_kind::no_target, "no host that reaches targets takes the request"});
        return;
    }
    const fleet::member host = fleet::pick_relay(
        m_hosts, [this](const fleet::member& one) { return m_relay.open_calls(one.id); },
        m_context.random());
    std::erase_if(m_hosts, [&](const fleet::member& one) { return one.id == host.id; });
    m_host = host.id;
    m_relay.on_call_started(m_host);
    m_call = m_context.client.send(make_request(host), make_callbacks());
}

http::client_request relay_task::make_request(const fleet::member& host) const
{
    const wire_names& names = m_context.settings.names;
    const http::request_head& from = m_exchange->head();
    http::client_request request;
    request.address = host.control_address;
    request.head = {from.method, std::string(relay_prefix) + from.path, from.authority,
                    make_forwarded_headers(from.headers, names)};
    std::erase_if(request.head.headers,
                  [](const http::header& field) { return field.name == relay_config_header; });
    if (const auto key = http::find_header(from.headers, names.key)) {
        request.head.headers.push_back({names.key, std::string(*key)});
    }
    request.head.headers.push_back({names.time_left, ""});
    request.head.headers.push_back(
        {std::string(relay_config_header), std::to_string(m_context.routes->version)});
    request.body = std::string(m_exchange->body());
    request.deadline = m_deadline + answer_margin;
    request.before_write = [weak = weak_from_this()](http::request_head& head) {
        const auto self = weak.lock();
        return self != nullptr && self->refresh_before_write(head);
    };
    return request;
}

bool relay_task::refresh_before_write(http::request_head& head) const
{
    const base::time_point now = base::boot_clock::now();
    if (now >= m_deadline || !m_exchange->is_caller_connected()) {
        return false;
    }
    const auto left = std::chrono::floor<std::chrono::milliseconds>(m_deadline - now);
    for (http::header& one : head.headers) {
        if (one.name == m_context.settings.names.time_left) {
            one.value = std::to_string(left.count());
        }
    }
    return true;
}

http::call_callbacks relay_task::make_callbacks()
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

void relay_task::on_head(const http::response_head& head)
{
    if (http::find_header(head.headers, relay_refused_header).has_value()) {
        const auto call = std::move(m_call);
        end_call();
        send_to_next_host();
        return;
    }
    m_status = head.status;
    m_stream = std::make_shared<response_stream>(m_exchange, m_context.buffers);
    m_stream->start(head);
}

void relay_task::on_body(std::string_view chunk)
{
    if (m_stream != nullptr && m_call != nullptr) {
        m_stream->write(chunk, *m_call);
    }
}

void relay_task::on_end(const http::call_end& end)
{
    if (m_is_finished) {
        return;
    }
    if (base::is_ok(end.outcome)) {
        on_complete();
        return;
    }
    const error& cause = base::error_of(end.outcome);
    if (m_stream != nullptr) {
        m_stream->detach_call();
        m_stream->abort();
        record_end(m_status, "answer_cut");
        finish_task();
        return;
    }
    const bool is_late = base::boot_clock::now() >= m_deadline;
    if (end.request_sent) {
        // The other host may have passed the request on to a target.
        refuse({is_late ? error_kind::deadline_exceeded : error_kind::target_failed, cause.detail});
        return;
    }
    if (is_late) {
        refuse({error_kind::deadline_not_run, cause.detail});
        return;
    }
    const auto call = std::move(m_call);
    end_call();
    send_to_next_host();
}

void relay_task::on_complete()
{
    if (m_stream == nullptr) {
        return;
    }
    m_stream->detach_call();
    m_stream->finish([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->record_end(self->m_status, "relayed");
            self->finish_task();
        }
    });
}

void relay_task::on_caller_disconnected()
{
    if (m_is_finished) {
        return;
    }
    if (m_stream != nullptr) {
        m_stream->detach_call();
    }
    m_call.reset();
    record_end(0, "caller_gone");
    finish_task();
}

void relay_task::end_by_stop()
{
    if (m_is_finished || m_stream != nullptr) {
        return;
    }
    const bool may_have_run = m_call != nullptr && m_call->request_sent();
    m_call.reset();
    refuse({may_have_run ? error_kind::deadline_exceeded : error_kind::stopping,
            "this host has stopped"});
}

void relay_task::refuse(const error& cause)
{
    const base::error_response& response = base::response_for(cause.kind);
    telemetry::log_event(severity::info, "relay_refused",
                         {{"request_id", m_id},
                          {"kind", response.name},
                          {"cause", cause.detail},
                          {"host", m_host.value()}});
    auto [head, body] = make_refusal(cause, m_id, response.not_run, {});
    m_exchange->respond(std::move(head), std::move(body));
    record_end(response.http_status, response.name);
    finish_task();
}

void relay_task::record_end(int status, std::string_view outcome)
{
    count_request(m_context, "relayed", outcome);
    telemetry::log_event(
        severity::info, "relay_done",
        {{"request_id", m_id},
         {"host", m_host.value()},
         {"status", status},
         {"outcome", outcome},
         {"took_ms",
          std::chrono::duration<double, std::milli>(base::boot_clock::now() - m_arrived).count()}});
}

void relay_task::end_call()
{
    if (!m_host.value().empty()) {
        m_relay.on_call_ended(m_host);
        m_host = {};
    }
}

void relay_task::finish_task()
{
    m_is_finished = true;
    end_call();
    m_relay.remove(shared_from_this());
}

} // namespace snipeshore::apps
