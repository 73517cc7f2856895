/// @file Makes the steering decisions of a host: collects their inputs and keeps the weights.
#pragma once

#include "base/time.h"
#include "config/types/document.h"
#include "config/types/drains_document.h"
#include "inner/types/messages.h"
#include "steering/types/decision_record.h"
#include "steering/types/inputs.h"
#include "steering/types/plan.h"
#include "steering/types/steering_state.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace snipeshore::apps {

/// Decides once per interval of the document's steering settings and after a new document. Does no
/// I/O.
class steering_runner {
public:
    /// Migrates the current weights to another document version.
    void set_document(const config::document& document);

    /// Handles a report of the lookup process. `foreign_weights` means that the lookup uses weights
    /// of an earlier run of the agent; decisions then continue from the weights in the report. If
    /// the report contains none, a decision could shift any amount of traffic, so no decision is
    /// made until the lookup has reported its weights or restarted.
    void on_report(const inner::process_report& report, bool foreign_weights, base::time_point now);

    /// Makes a decision if one is due. Returns whether `weights` changed.
    bool tick(const std::vector<inner::host_record>& members,
              const std::set<base::failure_domain_id>& reachable,
              const config::drains_document& drains, base::time_point now);

    /// Empty before the first decision.
    const std::vector<inner::site_weights>& weights() const
    {
        return m_weights;
    }

    /// Null before the first document.
    const steering::plan* plan() const
    {
        return m_plan ? &*m_plan : nullptr;
    }

    /// Changes that are waiting, and the shifts and refusals of the last decision that made any.
    std::vector<steering::decision_record> records() const;

    /// Whether decisions are suspended because the weights that the lookup uses are unknown.
    bool is_held() const
    {
        return m_is_held;
    }

private:
    using row_key = std::pair<std::string, std::string>;

    void restore(const std::vector<inner::site_weights>& weights, base::time_point now);
    void update_demand(const std::vector<inner::row_demand>& demand, base::time_point now);
    bool may_start(const std::vector<inner::host_record>& members, base::time_point now) const;
    void update_health(const std::vector<inner::host_record>& members,
                       const std::set<base::failure_domain_id>& reachable, base::time_point now);
    void update_drains(const config::drains_document& drains, base::time_point now);
    steering::inputs make_inputs(base::time_point now) const;
    std::vector<inner::site_weights> published_weights() const;

    config::document m_document;
    std::optional<steering::plan> m_plan;
    steering::steering_state m_state;
    bool m_has_decided = false;
    bool m_document_changed = false;
    bool m_is_held = false;
    bool m_is_restored = false;
    std::optional<base::time_point> m_first_tick;
    base::time_point m_next_decision{};
    std::map<row_key, double> m_demand;
    std::optional<base::time_point> m_demand_updated_at;
    std::map<base::failure_domain_id, steering::health_measurement> m_health;
    std::map<base::failure_domain_id, base::time_point> m_drain_deadlines;
    std::vector<inner::site_weights> m_weights;
    std::vector<steering::decision_record> m_waiting;
    std::vector<steering::decision_record> m_changes;
};

} // namespace snipeshore::apps
