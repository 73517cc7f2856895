/// @file The agent program: connects the core with its sockets and timers.
#pragma once

#include "apps/agent/agent_core.h"
#include "apps/agent/node_calls.h"
#include "apps/common/admin_server.h"
#include "inner/node.h"
#include "store/http_store.h"
#include "telemetry/metrics.h"

#include <chrono>
#include <string>

namespace snipeshore::http {
class loop;
}

namespace snipeshore::apps {

struct agent_app_settings {
    agent_settings core;
    inner::node_settings node;
    std::string platform_address;
    std::string admin_address;
    std::chrono::milliseconds stop_deadline{10000};
};

/// Not thread-safe: used on the loop's thread only.
class agent_app {
public:
    agent_app(http::loop& loop, agent_app_settings settings);

    base::status start();

    /// Announces to peers that this host is leaving, then stops the loop.
    void stop();

private:
    void tick();
    void finish();
    void refresh_metrics();

    http::loop& m_loop;
    agent_app_settings m_settings;
    telemetry::metrics m_metrics;
    inner::node m_node;
    node_calls m_calls;
    store::http_store m_store;
    agent_core m_core;
    admin_server m_admin;
    bool m_is_stopping = false;
    bool m_is_finished = false;
};

} // namespace snipeshore::apps
