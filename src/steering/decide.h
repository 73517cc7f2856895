/// @file Decides how traffic is spread over failure domains.
///
/// Every decider steers the callers that ask its own host. It owns a fixed part of each region, of
/// each link and of the shift cap, and never uses more than that, whatever its inputs say. The sum
/// over all deciders is therefore within the limits with any views they may have. Limits:
/// - Traffic shifted in one decision is at most the decider's part of the shift cap. It counts
///   every request whose failure domain changes and every request that was refused before and is
///   admitted now. Two decisions that shift are at least one interval apart.
/// - Load assigned to a failure domain is at most the decider's part of its usable capacity, at the
///   last known demand. Shifts into a region also stay within its part of the measured headroom,
///   less the shifts that the measurement cannot show yet.
/// - The same holds for links between regions.
/// - A shift into a failure domain grows no faster than the domain warms up.
///
/// A lost region is not exempt from the cap: the cap protects the receivers, whose caches are cold
/// for the traffic that arrives. Traffic of a lost failure domain is refused as not run at once (a
/// refusal is no shift) and is admitted elsewhere at the pace of the cap, in bounded time if the
/// others have headroom. What never fits is refused, each row by the same fraction.
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

/// Bound of `decision::records`; further ones are only counted.
inline constexpr std::size_t max_decision_records = 256;

struct decision {
    steering_state state; ///< Contains the new weights.
    std::vector<decision_record> records;
    std::uint32_t records_dropped = 0;
    double shifted = 0; ///< Requests per second that this decision moves.
};

/// A decider without previous weights starts from the baseline plan, as far as it fits: its host
/// gave no look-up answers before. An agent that restarts while its look-up process still
/// serves passes the weights in force by `restore_state`, so that the cap counts from them.
decision decide(const plan& plan, const inputs& inputs, const steering_state& previous,
                base::time_point now);

/// State of a decider that finds `weights` in force. Its earlier shifts are unknown, so it shifts
/// nothing into a region until a measurement shows the load that the weights in force cause.
steering_state restore_state(const plan& plan, const weight_table& weights, base::time_point now);

/// Carries a state over to a plan of another document version; entries are matched by id. Rows that
/// are new start from the baseline plan.
steering_state migrate_state(const plan& old_plan, const plan& new_plan,
                             const steering_state& state);

/// Time by which the shifts of a drain start early: twice what the cap alone needs, because other
/// shifts use the cap too, then warm-up of the receivers and the callers' cached answers.
base::duration drain_lead_time(const plan& plan);

/// Fraction of a row's look-ups that are admitted at a failure domain where they were not admitted
/// before; exact for the weighted rendezvous hashing of `choose_entry`.
double moved_fraction(const weight_table& before, const weight_table& after, std::size_t row);

/// Memory held by the state.
std::size_t memory_of(const steering_state& state);

} // namespace snipeshore::steering
