/// @file Polls the health and load endpoints of targets.
#pragma once

#include "targets/types/report.h"

#include <chrono>
#include <functional>
#include <memory>
#include <vector>

namespace snipeshore::http {
class client;
class loop;
} // namespace snipeshore::http

namespace snipeshore::targets {

struct poller_settings {
    std::chrono::milliseconds interval{2000}; ///< Between two polls of one target.
    std::chrono::milliseconds timeout{1000};  ///< Of one poll; shorter than the interval.
};

/// Polls each target once per interval, with an offset derived from its id, so that the polls are
/// spread over the interval. At most one poll per target is in progress. Must only be used on the
/// thread of the event loop.
class poller {
public:
    using report_callback = std::function<void(const poll_report&)>;

    poller(http::loop& loop, http::client& client, poller_settings settings,
           report_callback on_report);
    ~poller();
    poller(const poller&) = delete;
    poller& operator=(const poller&) = delete;
    poller(poller&&) = delete;
    poller& operator=(poller&&) = delete;

    /// Replaces the targets. Polls of unchanged targets continue.
    void set_targets(const std::vector<polled_target>& wanted);

private:
    struct impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace snipeshore::targets
