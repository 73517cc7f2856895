/// @file Polls the health and load endpoints of targets for drain announcements and load reports.
#pragma once

#include "base/types/ids.h"
#include "targets/poller.h"

#include <unordered_map>

namespace snipeshore::apps {

struct service_pool;

/// Polls only the targets of this host's subset, so that the polls per target do not increase with
/// the number of hosts. Must only be used on the thread of the event loop.
class target_watch {
public:
    using pool_map = std::unordered_map<base::service_id, service_pool>;

    target_watch(http::loop& loop, http::client& client, pool_map& pools);

    /// Polls the current targets of the pools from now on.
    void update();

private:
    void on_report(const targets::poll_report& report);

    pool_map& m_pools;
    targets::poller m_poller;
};

} // namespace snipeshore::apps
