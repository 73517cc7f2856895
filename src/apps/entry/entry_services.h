/// @file State shared by the request tasks of an entry process. Must only be used on the thread of
/// the event loop.
#pragma once

#include "apps/common/response_buffers.h"
#include "apps/entry/refusal_log.h"
#include "apps/entry/service_pool.h"
#include "base/types/ids.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace snipeshore::http {
class client;
class loop;
} // namespace snipeshore::http

namespace snipeshore::telemetry {
class metrics;
}

namespace snipeshore::apps {

class crash_monitor;
class request_task;
class share_manager;
class ticket_service;
struct fleet_state;

struct entry_identity {
    base::host_id host;
    base::failure_domain_id failure_domain;
    std::string fleet_secret;
};

struct entry_services {
    const entry_identity& identity;
    http::loop& loop;
    http::client& client;
    telemetry::metrics& metrics;
    const fleet_state& fleet;
    share_manager& shares;
    ticket_service& tickets;
    crash_monitor& crashes;
    std::size_t max_tasks = 4096;
    std::unordered_map<base::service_id, service_pool> pools;
    refusal_log refusals;
    response_buffers buffers;
    /// Requests in progress; keeps their tasks alive.
    std::unordered_set<std::shared_ptr<request_task>> tasks;
};

} // namespace snipeshore::apps
