/// @file Learns from targets' health and load endpoints that they leave, and what load they report.
#pragma once

#include "base/types/ids.h"
#include "targets/poller.h"

#include <unordered_map>

namespace snipeshore::apps {

struct service_pool;

/// Polls the targets of the own subset only, so that the polls per target do not grow with the
/// number of hosts. Belongs to the loop's thread.
class target_watch {
public:
    using pool_map = std::unordered_map<base::service_id, service_pool>;

    target_watch(http::loop& loop, http::client& client, pool_map& pools);

    /// Takes the targets of the pools.
    void update();

private:
    void on_report(const targets::poll_report& report);

    pool_map& m_pools;
    targets::poller m_poller;
};

} // namespace snipeshore::apps
