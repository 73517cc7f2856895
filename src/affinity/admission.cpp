#include "affinity/admission.h"

#include <algorithm>

namespace snipeshore::affinity {

namespace {

/// Fractions of the objective within which the least and the most urgent requests have to finish.
constexpr double least_urgent_fraction = 0.85;
constexpr double most_urgent_fraction = 1.3;

/// A wait of this many service times is always allowed, because predictions are not more precise.
constexpr double allowed_service_times = 0.3;

/// Fraction of the time left within which a request has to finish.
constexpr double usable_fraction = 0.9;

base::duration scaled(base::duration time, double factor)
{
    return std::chrono::duration_cast<base::duration>(time * factor);
}

} // namespace

admission admit(const admission_inputs& request)
{
    const double fraction =
        least_urgent_fraction + (most_urgent_fraction - least_urgent_fraction) * request.urgency;
    const base::duration allowed_by_objective =
        scaled(request.objective, fraction) - request.service_time;
    // A request that misses its objective anyway, as the first run of an object often does, may
    // only use a free slot.
    const base::duration tolerance = allowed_by_objective < base::duration{0}
                                         ? base::duration{0}
                                         : scaled(request.typical_time, allowed_service_times);
    base::duration allowed = std::max(allowed_by_objective, tolerance);
    if (request.objective == base::duration{0}) {
        allowed = request.time_left;
    }
    allowed = std::min(allowed, scaled(request.time_left, usable_fraction) - request.service_time);
    admission result;
    result.admitted = request.wait <= std::max(allowed, base::duration{0});
    if (!result.admitted) {
        result.retry_after = request.wait - std::max(allowed, base::duration{0});
    }
    return result;
}

} // namespace snipeshore::affinity
