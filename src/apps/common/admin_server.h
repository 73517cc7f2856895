/// @file Admin HTTP server of a program: state dump, metrics, readiness.
#pragma once

#include "base/result.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <string>

namespace snipeshore::http {
class exchange;
class loop;
class server;
} // namespace snipeshore::http

namespace snipeshore::telemetry {
class metrics;
}

namespace snipeshore::apps {

struct admin_callbacks {
    std::function<nlohmann::json()> dump;
    std::function<bool()> ready;
    /// Called before the metrics are exported, to update the gauges.
    std::function<void()> refresh_metrics;
};

/// Serves `/-/dump`, `/-/metrics` and `/-/ready`. Not thread-safe: used on the loop's thread only.
class admin_server {
public:
    admin_server(http::loop& loop, telemetry::metrics& metrics, admin_callbacks callbacks);
    ~admin_server();
    admin_server(const admin_server&) = delete;
    admin_server& operator=(const admin_server&) = delete;
    admin_server(admin_server&&) = delete;
    admin_server& operator=(admin_server&&) = delete;

    base::status listen(const std::string& address);

private:
    void handle(http::exchange& exchange);

    telemetry::metrics& m_metrics;
    admin_callbacks m_callbacks;
    std::unique_ptr<http::server> m_server;
};

/// Effective settings as JSON, with secrets masked.
nlohmann::json settings_dump();

} // namespace snipeshore::apps
