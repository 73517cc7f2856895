#include "apps/host/forward_task.h"
#include "apps/host/host_app.h"
#include "fleet/members.h"
#include "http/exchange.h"
#include "http/server.h"
#include "routing/route_table.h"

#include <algorithm>
#include <chrono>
#include <utility>

// Listeners of host_app for callers' requests, look-ups and the platform's readiness checks.
namespace snipeshore::apps {

namespace {

/// Time-out for the next request on an idle caller connection until the configuration is loaded.
constexpr std::chrono::milliseconds caller_idle_timeout{16000};

constexpr std::size_t max_body_bytes = 64U << 20U;

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
            forward_task::start(m_context, std::move(request));
        });
    m_entry->allow_pipelining(
        [this](const http::request_head& head) { return allows_pipelining(head); });
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

bool host_app::allows_pipelining(const http::request_head& head) const
{
    if (m_context.routes == nullptr) {
        return false;
    }
    const auto route = routing::find_route(*m_context.routes, head.authority, head.path);
    return base::is_ok(route) && base::value_of(route)->repeats == routing::repeat::idempotent;
}

void host_app::handle_ready(http::exchange& request) const
{
    if (request.head().path != m_settings.names.ready_path) {
        respond_json(request, 404, "{}");
        return;
    }
    respond_json(request, is_ready() ? 200 : 503, "{}");
}

base::region_id host_app::region_of(const base::failure_domain_id& domain) const
{
    const auto found = m_settings.regions.find(domain);
    return found == m_settings.regions.end() ? base::region_id() : found->second;
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
    const std::vector<std::string> addresses = fleet::entry_addresses(
        m_context.members, m_self, m_formats.caller_domain(query),
        [this](const base::failure_domain_id& domain) { return region_of(domain); },
        base::boot_clock::now());
    if (addresses.empty()) {
        respond_json(request, 503, "{}");
        return;
    }
    respond_json(request, 200, m_formats.lookup_response(addresses, m_settings.lookup_ttl));
}

} // namespace snipeshore::apps
