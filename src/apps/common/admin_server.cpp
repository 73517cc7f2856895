#include "apps/common/admin_server.h"

#include "base/error_response.h"
#include "http/exchange.h"
#include "http/server.h"
#include "settings/settings.h"
#include "telemetry/metrics.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace snipeshore::apps {

namespace {

void respond_with_text(http::exchange& exchange, int status, const char* type, std::string body)
{
    http::response_head head;
    head.status = status;
    head.headers = {{"content-type", type}, {"cache-control", "no-store"}};
    exchange.respond(std::move(head), std::move(body));
}

} // namespace

admin_server::admin_server(http::loop& loop, telemetry::metrics& metrics, admin_callbacks callbacks)
    : m_metrics(metrics), m_callbacks(std::move(callbacks)),
      m_server(std::make_unique<http::server>(
          loop, [this](const std::shared_ptr<http::exchange>& exchange) { handle(*exchange); }))
{}

admin_server::~admin_server() = default;

base::status admin_server::listen(const std::string& address)
{
    http::server_settings settings;
    settings.address = address;
    return m_server->listen(settings);
}

void admin_server::handle(http::exchange& exchange)
{
    const std::string& path = exchange.head().path;
    if (path == "/-/dump") {
        const auto replace = nlohmann::json::error_handler_t::replace;
        respond_with_text(exchange, 200, "application/json",
                          m_callbacks.dump().dump(2, ' ', false, replace) + "\n");
        return;
    }
    if (path == "/-/metrics") {
        m_callbacks.refresh_metrics();
        respond_with_text(exchange, 200, "text/plain; version=0.0.4", m_metrics.text());
        return;
    }
    if (path == "/-/ready") {
        const bool ready = m_callbacks.ready();
        respond_with_text(exchange, ready ? 200 : 503, "text/plain",
                          ready ? "ready\n" : "not ready\n");
        return;
    }
    const base::error unknown{base::error_kind::not_found, "unknown admin path " + path};
    respond_with_text(exchange, 404, "application/json", base::error_body(unknown, "", true));
}

nlohmann::json settings_dump()
{
    nlohmann::json all = nlohmann::json::object();
    for (const settings::effective_setting& setting : settings::effective_settings()) {
        all[setting.name] = setting.value;
    }
    return all;
}

} // namespace snipeshore::apps
