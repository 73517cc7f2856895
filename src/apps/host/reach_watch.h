/// @file Finds out whether this host can open connections to targets.
#pragma once

#include "base/time.h"
#include "http/loop.h"

#include <functional>

namespace snipeshore::apps {

struct host_context;
class target_checks;

/// Belongs to the loop's thread. Runs the probes that `reachability::should_probe` asks for on
/// `host_context::reach`.
class reach_watch {
public:
    /// `on_change` is called when `reach.is_cut` has changed.
    reach_watch(host_context& context, target_checks& checks, std::function<void()> on_change);

    /// To be called after each event that was recorded in `host_context::reach`.
    void update();

private:
    void start_round(base::time_point now);
    void schedule_update(base::time_point time);

    host_context& m_context;
    target_checks& m_checks;
    std::function<void()> m_on_change;
    http::timer_id m_timer = 0;
    base::time_point m_timer_due{};
};

} // namespace snipeshore::apps
