/// @file Capacity that one decision may still use of each limit.
#pragma once

#include "base/time.h"
#include "steering/types/decision_record.h"
#include "steering/types/inputs.h"
#include "steering/types/plan.h"
#include "steering/types/steering_state.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace snipeshore::steering::internal {

/// Whether a failure domain may keep and receive traffic.
struct domain_status {
    bool must_evacuate = false; ///< Unavailable, or the deadline of its drain has passed.
    bool draining = false; ///< Its traffic must be shifted away before the deadline of its drain.
    /// Why it cannot receive shifted traffic, or `none`.
    wait_reason receive_obstacle = wait_reason::none;
};

/// A limit of a region (requests per second) or link (bits per second) that all deciders share.
struct shared_limit {
    double own_limit = 0;       ///< `usable * share`.
    double used = 0;            ///< Load that the current weights of this decider assign.
    double usable = 0;          ///< Usable capacity for all deciders together.
    double share = 0;           ///< Fixed share (0..1) of this decider.
    double load = 0;            ///< Measured load, raised to the worst case for its age.
    bool load_known = false;    ///< Whether there is a usable measurement of the load.
    double pending_added = 0;   ///< By this decider, not yet visible in `load`.
    double pending_removed = 0; ///< By this decider, not yet visible in `load`.
    /// Removed by this decider, but callers may still use a cached look-up response.
    double removed_but_cached = 0;
};

/// Lists have one entry per failure domain, region or link of the plan, in its order.
struct budgets {
    double shift = 0; ///< Requests per second that may still be shifted in this decision.
    std::vector<domain_status> domain_statuses;
    std::vector<double> domain_limit;   ///< Requests per second, share of this decider.
    std::vector<double> domain_used;    ///< Requests per second that this decider assigns.
    std::vector<double> warm_up_budget; ///< In requests, see `warm_up_cost`.
    std::vector<shared_limit> regions;
    std::vector<shared_limit> links;
};

/// Load in bits per second that one request per second of a row adds to the links to and from a
/// region.
struct link_use {
    std::int32_t outbound = -1; ///< Index of the link to the receiving region, or -1.
    std::int32_t inbound = -1;  ///< Index of the link from the receiving region, or -1.
    double outbound_bits = 0;
    double inbound_bits = 0;
    bool possible = true; ///< False if the regions differ and a link between them is missing.
};

budgets make_budgets(const plan& plan, const inputs& inputs, const steering_state& state,
                     base::time_point now);

link_use links_between(const plan& plan, const inputs& inputs, std::size_t site,
                       std::size_t service, std::size_t domain);

/// Part of a receiver's warm-up budget that one request per second of the service uses: the warm-up
/// time of the service in seconds.
double warm_up_cost(const plan& plan, std::size_t service);

/// Recomputes the load that the weights of `state` assign to domains, regions and links.
void compute_usage(const plan& plan, const inputs& inputs, const steering_state& state,
                   budgets& budgets);

/// Load that this decider may add to a region or link if it may be filled up to the fraction
/// `max_utilization` (0..1).
double headroom(const shared_limit& limit, double max_utilization);

/// Appends a change to a list of at most `max_pending_load_changes` entries, merging the two oldest
/// ones if the list is full.
void record_change(std::vector<pending_load_change>& changes, const pending_load_change& change);

/// Removes the changes that a measurement taken at `taken` shows. A change is visible
/// `visible_after` after it was made.
void remove_measured_changes(std::vector<pending_load_change>& changes, base::time_point taken,
                             base::duration visible_after);

/// First failure domain in the site's order of preference that has targets of the service, or the
/// site's home if there is none.
std::uint16_t baseline_domain(const plan& plan, std::size_t site, std::size_t service);

/// Baseline weights: all traffic of every row at its baseline domain.
weight_table baseline_weights(const plan& plan);

} // namespace snipeshore::steering::internal
