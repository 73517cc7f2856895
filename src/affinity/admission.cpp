#include "affinity/admission.h"

#include <algorithm>

namespace snipeshore::affinity {

namespace {

/// Part of the objective within which the least and the most urgent requests have to finish.
constexpr double least_urgent_part = 0.85;
constexpr double most_urgent_part = 1.3;

/// A wait of this many service times is always allowed: predictions are no better than that.
constexpr double allowed_services = 0.3;

/// Part of the time left by which a request has to finish.
constexpr double usable_part = 0.9;

base::duration scaled(base::duration time, double factor)
{
    return std::chrono::duration_cast<base::duration>(time * factor);
}

} // namespace

admission admit(const admission_inputs& request)
{
    const double part =
        least_urgent_part + (most_urgent_part - least_urgent_part) * request.urgency;
    const base::duration for_objective = scaled(request.objective, part) - request.service_time;
    base::duration allowed =
        std::max(for_objective, scaled(request.service_time, allowed_services));
    if (request.objective == base::duration{0}) {
        allowed = request.time_left;
    }
    allowed = std::min(allowed, scaled(request.time_left, usable_part) - request.service_time);
    admission decided;
    decided.admitted = request.wait <= std::max(allowed, base::duration{0});
    if (!decided.admitted) {
        decided.retry_after = request.wait - std::max(allowed, base::duration{0});
    }
    return decided;
}

} // namespace snipeshore::affinity
