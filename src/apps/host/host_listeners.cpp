#include "apps/host/forward_task.h"
#include "apps/host/host_app.h"
#include "apps/host/request_parts.h"
#include "base/error_response.h"
#include "fleet/host_choice.h"
#include "fleet/members.h"
#include "http/exchange.h"
#include "http/server.h"
#include "routing/route_table.h"
#include "telemetry/event_log.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

// Listeners of host_app for callers' requests, look-ups and the platform's readiness checks.
namespace snipeshore::apps {

namespace {

/// Time-out for the next request on an idle caller connection until the configuration is loaded.
constexpr std::chrono::milliseconds caller_idle_timeout{16000};

void respond_json(http::exchange& request, int status, std::string text)
{
    http::response_head head;
    head.status = status;
    head.headers.push_back({"content-type", "application/json"});
    request.respond(std::move(head), std::move(text));
}

} // namespace

base::status host_app::listen()
{
    http::server_settings entry;
    entry.address = m_settings.entry_address;
    entry.max_request_bytes = max_body_bytes;
    entry.request_timeout = caller_idle_timeout;
    http::server_settings lookup = entry;
    lookup.address = m_settings.lookup_address;
    http::server_settings ready = entry;
    ready.address = m_settings.ready_address;
    m_entry =
        std::make_unique<http::server>(m_loop, [this](std::shared_ptr<http::exchange> request) {
            if (!m_request_relay.take(request)) {
                forward_task::start(m_context, std::move(request));
            }
        });
    m_entry->allow_pipelining(
        [this](const http::request_head& head) { return allows_pipelining(head); });
    m_entry->limit_bodies({[this](const http::request_head& head, base::time_point arrived) {
                               return request_deadline(head.headers, m_settings.names.time_left,
                                                       find_route(head), arrived);
                           },
                           [this](const http::request_head& head) {
                               return refuse_unfinished(head);
                           }});
    m_lookup = std::make_unique<http::server>(
        m_loop,
        [this](const std::shared_ptr<http::exchange>& request) { handle_lookup(*request); });
    m_ready = std::make_unique<http::server>(
        m_loop, [this](const std::shared_ptr<http::exchange>& request) { handle_ready(*request); });
    base::status status = m_entry->listen(entry);
    if (base::is_ok(status)) {
        status = m_lookup->listen(lookup);
    }
    if (base::is_ok(status)) {
        status = m_ready->listen(ready);
    }
    if (base::is_ok(status) && !m_settings.metrics_address.empty()) {
        status = m_admin.listen(m_settings.metrics_address);
    }
    return status;
}

const routing::route* host_app::find_route(const http::request_head& head) const
{
    if (m_context.routes == nullptr) {
        return nullptr;
    }
    const auto route = routing::find_route(*m_context.routes, head.authority, head.path);
    return base::is_ok(route) ? base::value_of(route) : nullptr;
}

bool host_app::allows_pipelining(const http::request_head& head) const
{
    const routing::route* route = find_route(head);
    return route != nullptr && route->repeats == routing::repeat::idempotent;
}

std::pair<http::response_head, std::string>
host_app::refuse_unfinished(const http::request_head& head)
{
    const base::error cause{base::error_kind::request_incomplete,
                            "the deadline passed before the body was complete"};
    const std::string_view name = base::response_for(cause.kind).name;
    const std::string id(http::find_header(head.headers, m_settings.names.request_id).value_or(""));
    const routing::route* route = find_route(head);
    const std::string route_name = route == nullptr ? "none" : route->name;
    count_request(m_context, route_name, name);
    telemetry::log_event(
        telemetry::severity::info, "refused",
        {{"request_id", id}, {"kind", name}, {"cause", cause.detail}, {"route", route_name}});
    return make_refusal(cause, id, true, {});
}

void host_app::handle_ready(http::exchange& request) const
{
    if (request.head().path != m_settings.names.ready_path) {
        respond_json(request, 404, "{}");
        return;
    }
    respond_json(request, is_ready() ? 200 : 503, "{}");
}

void host_app::handle_lookup(http::exchange& request) const
{
    const std::string_view path = request.head().path;
    const std::size_t query_start = std::min(path.find('?'), path.size());
    if (path.substr(0, query_start) != m_settings.names.lookup_path) {
        respond_json(request, 404, "{}");
        return;
    }
    const std::string_view query = path.substr(std::min(query_start + 1, path.size()));
    std::vector<std::string> addresses;
    for (const fleet::member* host : fleet::entry_hosts(
             fleet::ready_hosts(m_context.members, m_self, base::boot_clock::now()),
             m_formats.caller_domain(query), [this](const base::failure_domain_id& domain) {
                 return region_of(m_context, domain);
             })) {
        addresses.push_back(host->entry_address);
    }
    if (addresses.empty()) {
        respond_json(request, 503, "{}");
        return;
    }
    respond_json(request, 200, m_formats.lookup_response(addresses, m_settings.lookup_ttl));
}

} // namespace snipeshore::apps
