#include "prediction/service_times.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace snipeshore::prediction {

namespace {

/// Requests to a target after which an object counts as run earlier instead of recently.
constexpr std::uint64_t recent_runs = 32;

/// Weight of a new sample in the moving averages, once there are enough samples.
constexpr double sample_weight = 0.08;

/// A slow target has to be noticed within a few responses.
constexpr double slowness_weight = 0.25;

/// Time constant with which a target's slowness decays, so that a slow target is tried again.
constexpr double slowness_decay_s = 4.0;
constexpr double min_slowness = 0.4;
constexpr double max_slowness = 8.0;

/// Number of samples from which an average is used to judge targets.
constexpr unsigned min_samples = 3;

/// A sample counts at most this multiple of the average: the rare slow run says little about
/// others.
constexpr double max_sample_ratio = 3.0;

/// Time of a request whose route has no sample yet; at most the route's objective.
constexpr std::chrono::milliseconds initial_time{150};

/// Time for a known object relative to its first run, while there is no sample.
constexpr double initial_known_ratio = 0.5;

std::size_t index_of(recency known)
{
    return static_cast<std::size_t>(known);
}

base::duration scaled(base::duration time, double factor)
{
    return std::chrono::duration_cast<base::duration>(time * factor);
}

double ratio_of(base::duration time, base::duration other)
{
    return static_cast<double>(time.count()) /
           static_cast<double>(std::max<base::duration::rep>(other.count(), 1));
}

void add_sample(estimate& to, base::duration sample)
{
    ++to.samples;
    if (to.samples == 1) {
        to.mean = sample;
        return;
    }
    const base::duration counted = std::min(sample, scaled(to.mean, max_sample_ratio));
    const double weight = std::max(sample_weight, 1.0 / to.samples);
    to.mean += scaled(counted - to.mean, weight);
}

base::duration initial_time_of(const request_traits& request)
{
    const base::duration initial = initial_time;
    return request.objective == base::duration{0} ? initial : std::min(initial, request.objective);
}

base::duration route_time(const std::array<estimate, recency_count>& times,
                          const request_traits& request, recency known)
{
    const estimate& exact = times[index_of(known)];
    if (exact.samples > 0) {
        return exact.mean;
    }
    const estimate& recent = times[index_of(recency::recent)];
    if (known == recency::earlier && recent.samples > 0) {
        return recent.mean;
    }
    const estimate& first = times[index_of(recency::never)];
    if (first.samples > 0) {
        return scaled(first.mean, initial_known_ratio);
    }
    return recent.samples > 0 ? recent.mean : initial_time_of(request);
}

base::duration unscaled_time(const service_times& times, const request_traits& request,
                             recency known)
{
    const auto route = times.by_route.find(request.route);
    return route == times.by_route.end() ? initial_time_of(request)
                                         : route_time(route->second, request, known);
}

double slowness_of(const target_history& history, base::time_point now)
{
    const double age =
        std::max(0.0, std::chrono::duration<double>(now - history.slowness_measured_at).count());
    return 1 + (history.slowness - 1) * std::exp(-age / slowness_decay_s);
}

} // namespace

std::string_view to_string(recency known)
{
    switch (known) {
    case recency::recent:
        return "recent";
    case recency::earlier:
        return "earlier";
    case recency::never:
        return "never";
    }
    return "unknown";
}

recency recency_of(const target_history& history, const request_traits& request)
{
    if (!request.has_object) {
        return recency::recent;
    }
    const auto last = history.last_runs.find(request.object);
    if (last == history.last_runs.end() || history.runs - last->second > remembered_runs) {
        return recency::never;
    }
    return history.runs - last->second > recent_runs ? recency::earlier : recency::recent;
}

base::duration expected_time(const service_times& times, const target_history& history,
                             const request_traits& request, base::time_point now)
{
    return scaled(unscaled_time(times, request, recency_of(history, request)),
                  slowness_of(history, now));
}

base::duration average_time(const service_times& times, const target_history& history,
                            base::time_point now)
{
    const base::duration average = times.all.samples == 0 ? initial_time : times.all.mean;
    return scaled(average, slowness_of(history, now));
}

void record_run(target_history& history, const request_traits& request)
{
    ++history.runs;
    if (!request.has_object) {
        return;
    }
    history.last_runs[request.object] = history.runs;
    if (history.last_runs.size() > 2 * remembered_runs) {
        std::erase_if(history.last_runs, [&](const auto& entry) {
            return history.runs - entry.second > remembered_runs;
        });
    }
}

void forget_run(target_history& history, const request_traits& request)
{
    history.last_runs.erase(request.object);
}

void record_time(service_times& times, target_history& history, const time_sample& sample,
                 base::time_point now)
{
    if (times.by_route.size() >= max_routes && !times.by_route.contains(sample.request.route)) {
        times.by_route.clear();
    }
    estimate& learned = times.by_route[sample.request.route][index_of(sample.known)];
    const bool is_reliable = learned.samples >= min_samples;
    const double slowness = slowness_of(history, now);
    if (is_reliable) {
        const base::duration predicted = scaled(learned.mean, slowness) + sample.predicted_wait;
        const double measured =
            std::clamp(ratio_of(sample.took, predicted) * slowness, min_slowness, max_slowness);
        history.slowness = slowness + (measured - slowness) * slowness_weight;
        history.slowness_measured_at = now;
    }
    if (sample.had_free_slot) {
        const base::duration service_time =
            is_reliable ? scaled(sample.took, 1 / std::max(1.0, slowness)) : sample.took;
        add_sample(learned, service_time);
        add_sample(times.all, service_time);
    }
}

} // namespace snipeshore::prediction
