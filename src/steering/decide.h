/// @file Decides how traffic is distributed over failure domains.
///
/// There is one decider per entry host; it steers the callers that send their look-ups to that
/// host. A decider owns a fixed share of each region, of each link and of the shift cap, and never
/// uses more than that, whatever its inputs are. The sum over all deciders therefore stays within
/// the limits even if their inputs differ. Limits:
/// - Traffic shifted in one decision is at most the decider's share of the shift cap. It includes
///   every request whose failure domain changes and every request that was refused before and is
///   admitted now. Two decisions that shift traffic are at least one interval apart.
/// - Load assigned to a failure domain is at most the decider's share of its usable capacity, at
///   the last known demand. Shifts into a region also stay within the decider's share of the
///   measured headroom, minus its own shifts that the measurement does not show yet.
/// - The same applies to links between regions.
/// - Traffic is shifted into a failure domain no faster than the domain warms up.
///
/// The cap also applies when a region is lost: it protects the receivers, whose caches are cold for
/// the traffic that arrives. Traffic of a lost failure domain is refused as not run immediately (a
/// refusal does not count as a shift) and is admitted elsewhere at the rate that the cap allows, in
/// bounded time if the other failure domains have headroom. Traffic that does not fit anywhere
/// stays refused, each row by the same fraction.
#pragma once

#include "base/time.h"
#include "steering/types/decision_record.h"
#include "steering/types/inputs.h"
#include "steering/types/plan.h"
#include "steering/types/steering_state.h"
#include "steering/types/weight_table.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace snipeshore::steering {

/// Maximum length of `decision::records`; further records are only counted in `records_dropped`.
inline constexpr std::size_t max_decision_records = 256;

struct decision {
    steering_state state; ///< State after the decision, including the new weights.
    std::vector<decision_record> records;
    std::uint32_t records_dropped = 0;
    double shifted = 0; ///< Requests per second that this decision shifts.
};

/// Makes one decision. A decider without previous weights starts from the baseline weights, as far
/// as they fit its limits: its host has sent no look-up responses before. An agent that restarts
/// while its look-up process still serves passes the weights in force through `restore_state`, so
/// that the cap is applied relative to them.
decision decide(const plan& plan, const inputs& inputs, const steering_state& previous,
                base::time_point now);

/// State of a decider that restarts while `weights` are in force. Its earlier shifts are unknown,
/// so it shifts nothing into a region until a measurement shows the load caused by these weights.
steering_state restore_state(const plan& plan, const weight_table& weights, base::time_point now);

/// Converts a state to the plan of another document version; entries are matched by id. New rows
/// start from the baseline weights.
steering_state migrate_state(const plan& old_plan, const plan& new_plan,
                             const steering_state& state);

/// Time before the deadline of a drain at which its shifts start. It is the sum of twice the time
/// that the cap alone requires (other shifts use the cap too), the warm-up time of the receivers
/// and the time for which callers cache look-up responses; at most one hour.
base::duration drain_lead_time(const plan& plan);

/// Fraction of a row's look-ups that are admitted at a failure domain where they were not admitted
/// before. The result is exact for the weighted rendezvous hashing of `choose_entry`.
double moved_fraction(const weight_table& before, const weight_table& after, std::size_t row);

/// Memory used by the state, in bytes.
std::size_t memory_of(const steering_state& state);

} // namespace snipeshore::steering
