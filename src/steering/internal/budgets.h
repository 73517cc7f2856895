/// @file What one decision may still use of each limit.
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

struct domain_view {
    bool must_leave = false;                    ///< Lost, or its drain is due.
    bool draining = false;                      ///< To be emptied before its drain is due.
    wait_reason no_receive = wait_reason::none; ///< Why it takes no shift; `none`: it does.
};

/// A region or link: the part of this decider, and what measurements say.
struct shared_limit {
    double part = 0;      ///< Fixed part of this decider.
    double used = 0;      ///< What this decider assigns now.
    double usable = 0;    ///< Of all deciders.
    double fraction = 0;  ///< Fixed part as a fraction.
    double load = 0;      ///< Measured, at the worst case for its age.
    bool known = false;   ///< Whether there is a usable measurement.
    double added = 0;     ///< By this decider, not yet visible in `load`.
    double removed = 0;   ///< By this decider, not yet visible in `load`.
    double lingering = 0; ///< Removed, but callers may still use their cached answer.
};

struct budgets {
    double shift = 0;
    std::vector<domain_view> views;
    std::vector<double> domain_part;
    std::vector<double> domain_used;
    std::vector<double> warming; ///< Per domain: requests per second it may take, see `warm_cost`.
    std::vector<shared_limit> regions;
    std::vector<shared_limit> links;
};

/// Bits per second that one request per second of a row puts on the links to and from a region.
struct link_use {
    std::int32_t ahead = -1; ///< Index of the link to the receiver, or -1.
    std::int32_t back = -1;  ///< Index of the link from the receiver, or -1.
    double ahead_bits = 0;
    double back_bits = 0;
    bool possible = true; ///< False if regions differ and a link is missing.
};

budgets make_budgets(const plan& plan, const inputs& inputs, const steering_state& state,
                     base::time_point now);

link_use links_between(const plan& plan, const inputs& inputs, std::size_t site,
                       std::size_t service, std::size_t domain);

/// Capacity of a receiver's warm-up that one request per second of the service uses.
double warm_cost(const plan& plan, std::size_t service);

/// Recomputes what the weights of `state` assign to domains, regions and links.
void count_use(const plan& plan, const inputs& inputs, const steering_state& state,
               budgets& budgets);

/// What this decider may add to a region or link when it may be filled to `level` (0..1).
double room(const shared_limit& limit, double level);

/// Appends a change to a bounded list, merging the oldest entries.
void note_change(std::vector<pending_load_change>& changes, const pending_load_change& change);

/// Removes the changes that a measurement taken at `taken` shows.
void forget_seen(std::vector<pending_load_change>& changes, base::time_point taken,
                 base::duration visible_after);

/// First failure domain in the site's order that has targets of the service.
std::uint16_t baseline_domain(const plan& plan, std::size_t site, std::size_t service);

/// The baseline plan: every row at its baseline domain.
weight_table baseline_weights(const plan& plan);

} // namespace snipeshore::steering::internal
