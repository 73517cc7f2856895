#include "balancing/balancer.h"

#include "base/types/error.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <string>
#include <unordered_map>

namespace snipeshore::balancing {

namespace {

/// Latency assumed until a latency has been measured for at least one target.
constexpr double assumed_latency_ms = 1.0;
/// Lower bound of the weight factor for errors. A target that fails every request still gets a
/// few requests, so that a recovery is observed.
constexpr double error_floor = 0.02;
/// Weight of a new outcome in the moving average of the error rate, which covers about the last 20
/// requests.
constexpr double error_gain = 0.1;
/// At most one target in this many may be ejected at the same time.
constexpr std::size_t min_targets_per_ejection = 3;

double milliseconds(base::duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

/// Weight of the target's last observation, 0 to 1. Halves with every observation half-life.
double observation_weight(const balancer_state& state, const target_state& target,
                          base::time_point now)
{
    const double half_lives = milliseconds(now - target.observed_at) /
                              std::max(1.0, milliseconds(state.config.observation_half_life));
    return std::exp2(-std::max(0.0, half_lives));
}

bool is_member(const target_state& target)
{
    return target.present && target.in_subset && !target.info.leaving;
}

struct observed_latency {
    double mean_ms = assumed_latency_ms; ///< Assumed for targets without a measurement.
    double best_ms = assumed_latency_ms;
};

observed_latency summarize_latency(const balancer_state& state)
{
    double sum = 0;
    double count = 0;
    double best = std::numeric_limits<double>::infinity();
    for (const target_state& target : state.targets) {
        if (is_member(target) && target.latency_ms > 0) {
            // The harmonic mean, so that one very slow target does not raise it much.
            sum += 1 / target.latency_ms;
            count += 1;
            best = std::min(best, target.latency_ms);
        }
    }
    return count > 0 ? observed_latency{count / sum, best} : observed_latency{};
}

double slow_start_weight(const balancer_state& state, const target_state& target,
                         base::time_point now)
{
    const double warm_up = milliseconds(state.config.warm_up);
    const double age = milliseconds(now - target.warm_since);
    if (warm_up <= 0 || age >= warm_up) {
        return 1.0;
    }
    return state.config.warm_up_floor +
           (1 - state.config.warm_up_floor) * std::max(0.0, age) / warm_up;
}

double shed_weight(const balancer_state& state, const target_state& target, base::time_point now)
{
    const double recovered =
        state.config.shed_recovery_per_s * milliseconds(now - target.shed_at) / 1000;
    return std::min(1.0, target.shed_weight + std::max(0.0, recovered));
}

/// Expected latency of one more request in milliseconds, scaled by the weight of the target. While
/// a target has no requests in flight, its latency estimate decays towards the lowest latency in
/// the subset, so that a target that was slow gets requests and is measured again.
double cost(const balancer_state& state, const target_state& target,
            const observed_latency& latencies, base::time_point now)
{
    const double freshness = observation_weight(state, target, now);
    double latency = target.latency_ms > 0 ? target.latency_ms : latencies.mean_ms;
    if (target.latency_ms > latencies.best_ms && target.in_flight == 0) {
        latency = latencies.best_ms + (latency - latencies.best_ms) * freshness;
    }
    const double weight = slow_start_weight(state, target, now) * shed_weight(state, target, now) *
                          std::max(error_floor, 1 - target.error_rate * freshness);
    const double connect =
        target.idle_connections == 0 ? milliseconds(state.config.connect_cost) : 0;
    const double queued = (target.in_flight + 1.0) / std::max(1U, target.info.slots);
    return (latency * queued + connect) / weight;
}

std::size_t count_members(const balancer_state& state)
{
    return static_cast<std::size_t>(
        std::count_if(state.targets.begin(), state.targets.end(), is_member));
}

std::size_t count_ejected(const balancer_state& state)
{
    return static_cast<std::size_t>(
        std::count_if(state.targets.begin(), state.targets.end(), [](const auto& target) {
            return is_member(target) && target.phase != ejection_phase::active;
        }));
}

/// Readmits targets until the number of ejected ones is within its limit, which becomes lower when
/// the target set shrinks. Targets whose ejection ends first are readmitted first.
void readmit_excess(balancer_state& state, base::time_point now)
{
    while (count_ejected(state) > count_members(state) / min_targets_per_ejection) {
        target_state* first = nullptr;
        for (target_state& target : state.targets) {
            if (is_member(target) && target.phase != ejection_phase::active &&
                (first == nullptr || target.ejected_until < first->ejected_until)) {
                first = &target;
            }
        }
        first->phase = ejection_phase::active;
        first->trial_running = false;
        first->warm_since = now;
    }
}

void eject(balancer_state& state, target_state& target, base::time_point now)
{
    const bool was_in_trial = target.phase == ejection_phase::trial;
    const bool allowed =
        was_in_trial || count_ejected(state) + 1 <= count_members(state) / min_targets_per_ejection;
    if (!is_member(target) || !allowed) {
        return;
    }
    if (now - target.ejected_until > state.config.max_ejection) {
        target.ejections = 0;
    }
    const double factor = std::exp2(std::min(target.ejections, 30U));
    const std::chrono::duration<double, std::milli> span(std::min(
        milliseconds(state.config.ejection) * factor, milliseconds(state.config.max_ejection)));
    target.phase = ejection_phase::ejected;
    target.ejected_until = now + std::chrono::duration_cast<base::duration>(span);
    target.ejections = std::min(target.ejections + 1, 31U);
    target.trial_running = false;
}

void readmit(target_state& target, base::time_point now)
{
    target.phase = ejection_phase::active;
    target.trial_running = false;
    target.failures_in_row = 0;
    target.error_rate = 0;
    target.samples = 0;
    target.warm_since = now;
}

void observe_error(const balancer_state& state, target_state& target, bool failed,
                   base::time_point now)
{
    const double old_rate = target.error_rate * observation_weight(state, target, now);
    target.error_rate = old_rate + error_gain * ((failed ? 1.0 : 0.0) - old_rate);
    target.failures_in_row = failed ? target.failures_in_row + 1 : 0;
    target.samples = std::min(target.samples + 1, std::numeric_limits<std::uint32_t>::max() - 1);
    target.observed_at = now;
}

void on_success(balancer_state& state, target_state& target, double latency_ms,
                base::time_point now)
{
    if (target.phase == ejection_phase::trial) {
        readmit(target, now);
    }
    target.latency_ms =
        target.latency_ms <= 0
            ? latency_ms
            : target.latency_ms + state.config.latency_gain * (latency_ms - target.latency_ms);
    observe_error(state, target, false, now);
}

void on_failure(balancer_state& state, target_state& target, base::time_point now)
{
    observe_error(state, target, true, now);
    const bool is_outlier = target.failures_in_row >= state.config.eject_after_failures ||
                            (target.samples >= state.config.eject_min_samples &&
                             target.error_rate >= state.config.eject_error_rate);
    if (target.phase == ejection_phase::trial ||
        (target.phase == ejection_phase::active && is_outlier)) {
        eject(state, target, now);
    }
}

void on_load_shed(balancer_state& state, target_state& target, base::time_point now)
{
    target.shed_weight = std::max(state.config.shed_floor,
                                  shed_weight(state, target, now) * state.config.shed_factor);
    target.shed_at = now;
    if (target.phase == ejection_phase::trial) {
        // The target responds, so it is not an outlier; its reduced weight limits its load.
        readmit(target, now);
    }
}

bool is_excluded(const request_info& request, std::uint32_t index)
{
    return std::find(request.excluded.begin(), request.excluded.end(), index) !=
           request.excluded.end();
}

bool is_at_limit(const target_state& target)
{
    return target.in_flight >= target.connection_limit;
}

void append_record(balancer_state& state, const choice_record& record)
{
    state.recent[state.choices % state.recent.size()] = record;
    ++state.choices;
}

std::uint64_t tie_hash(std::uint64_t request, std::uint64_t index)
{
    std::uint64_t value = request + (index + 1) * 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

/// Reason to prefer `candidate` to `best` at equal cost, or `no_target` if `best` is preferred.
choice_reason tie_break_reason(const balancer_state& state, const request_info& request,
                               std::uint32_t candidate, std::uint32_t best)
{
    const target_state& left = state.targets[candidate];
    const target_state& right = state.targets[best];
    const bool left_idle = left.idle_connections > 0;
    const bool right_idle = right.idle_connections > 0;
    if (left_idle != right_idle) {
        return left_idle ? choice_reason::idle_connection : choice_reason::no_target;
    }
    if (left.reported_load && right.reported_load && *left.reported_load != *right.reported_load) {
        return *left.reported_load < *right.reported_load ? choice_reason::reported_load
                                                          : choice_reason::no_target;
    }
    return tie_hash(request.hash, candidate) < tie_hash(request.hash, best)
               ? choice_reason::hash
               : choice_reason::no_target;
}

std::optional<std::uint32_t> find_trial(balancer_state& state, const request_info& request,
                                        base::time_point now)
{
    for (std::uint32_t index = 0; index < state.targets.size(); ++index) {
        target_state& target = state.targets[index];
        if (target.phase == ejection_phase::ejected && now >= target.ejected_until) {
            target.phase = ejection_phase::trial;
        }
        if (target.phase == ejection_phase::trial && !target.trial_running && request.allow_trial &&
            is_member(target) && !is_at_limit(target) &&
            signals::may_send(target.signals, target.in_flight, now) &&
            !is_excluded(request, index)) {
            return index;
        }
    }
    return std::nullopt;
}

/// Cost of the target, or infinity if it cannot take the request. Counts the targets of the subset
/// in `record`, and those that are ejected or at their connection limit.
double candidate_cost(const balancer_state& state, const request_info& request, std::uint32_t index,
                      const observed_latency& latencies, base::time_point now,
                      choice_record& record)
{
    constexpr double unavailable = std::numeric_limits<double>::infinity();
    const target_state& target = state.targets[index];
    if (!is_member(target)) {
        return unavailable;
    }
    ++record.considered;
    if (target.phase != ejection_phase::active) {
        ++record.ejected;
        return unavailable;
    }
    if (is_at_limit(target) || !signals::may_send(target.signals, target.in_flight, now)) {
        ++record.at_limit;
        return unavailable;
    }
    return is_excluded(request, index) ? unavailable : cost(state, target, latencies, now);
}

std::uint32_t find_or_add_index(balancer_state& state, const base::target_id& id,
                                std::unordered_map<base::target_id, std::uint32_t>& known)
{
    const auto found = known.find(id);
    if (found != known.end()) {
        return found->second;
    }
    for (std::uint32_t index = 0; index < state.targets.size(); ++index) {
        if (!state.targets[index].present && state.targets[index].in_flight == 0) {
            state.targets[index] = {};
            return index;
        }
    }
    state.targets.emplace_back();
    return static_cast<std::uint32_t>(state.targets.size() - 1);
}

} // namespace

std::string_view to_string(choice_reason reason)
{
    switch (reason) {
    case choice_reason::lowest_cost:
        return "lowest_cost";
    case choice_reason::idle_connection:
        return "idle_connection";
    case choice_reason::reported_load:
        return "reported_load";
    case choice_reason::hash:
        return "hash";
    case choice_reason::trial:
        return "trial";
    case choice_reason::no_target:
        return "no_target";
    }
    return "unknown";
}

void set_targets(balancer_state& state, const target_set& targets, base::time_point now)
{
    const bool is_first = state.targets.empty();
    target_set complete = targets;
    if (std::find(complete.entry_hosts.begin(), complete.entry_hosts.end(), complete.self) ==
        complete.entry_hosts.end()) {
        complete.entry_hosts.push_back(complete.self);
    }
    const auto subsets = make_subsets(complete, state.config);
    std::vector<std::uint32_t> host_counts(complete.targets.size(), 0);
    std::vector<bool> in_own_subset(complete.targets.size(), false);
    for (std::size_t host = 0; host < subsets.size(); ++host) {
        for (const std::uint32_t target : subsets[host]) {
            ++host_counts[target];
            in_own_subset[target] =
                in_own_subset[target] || complete.entry_hosts[host] == complete.self;
        }
    }
    std::unordered_map<base::target_id, std::uint32_t> known;
    std::vector<bool> was_usable;
    for (std::uint32_t index = 0; index < state.targets.size(); ++index) {
        target_state& target = state.targets[index];
        was_usable.push_back(target.present && !target.info.leaving);
        if (target.present || target.in_flight > 0) {
            known.emplace(target.info.id, index);
        }
        target.present = false;
    }
    // Known targets are marked as present first, so that no new target reuses their indices.
    for (const target_info& info : complete.targets) {
        const auto found = known.find(info.id);
        if (found != known.end()) {
            state.targets[found->second].present = true;
        }
    }
    for (std::size_t position = 0; position < complete.targets.size(); ++position) {
        const target_info& info = complete.targets[position];
        const std::uint32_t state_index = find_or_add_index(state, info.id, known);
        known.emplace(info.id, state_index);
        target_state& target = state.targets[state_index];
        const bool was_known = state_index < was_usable.size() && target.info.id == info.id;
        if (!info.leaving && !(was_known && was_usable[state_index])) {
            target.warm_since = is_first ? now - state.config.warm_up : now;
        }
        target.info = info;
        target.present = true;
        target.in_subset = in_own_subset[position];
        target.connection_limit =
            std::max(1U, info.connections / std::max(1U, host_counts[position]));
    }
    readmit_excess(state, now);
}

base::result<std::uint32_t> choose(balancer_state& state, const request_info& request,
                                   base::time_point now)
{
    choice_record record;
    record.at = now;
    if (const auto trial = find_trial(state, request, now)) {
        state.targets[*trial].trial_running = true;
        record.reason = choice_reason::trial;
        record.target = *trial;
        append_record(state, record);
        return *trial;
    }
    const observed_latency latencies = summarize_latency(state);
    double lowest = std::numeric_limits<double>::infinity();
    for (std::uint32_t index = 0; index < state.targets.size(); ++index) {
        lowest = std::min(lowest, candidate_cost(state, request, index, latencies, now, record));
    }
    if (!std::isfinite(lowest)) {
        append_record(state, record);
        return base::error{base::error_kind::no_target,
                           "no target available: considered " + std::to_string(record.considered) +
                               ", at limit " + std::to_string(record.at_limit) + ", ejected " +
                               std::to_string(record.ejected)};
    }
    choice_record unused;
    std::optional<std::uint32_t> best;
    for (std::uint32_t index = 0; index < state.targets.size(); ++index) {
        const double target_cost = candidate_cost(state, request, index, latencies, now, unused);
        if (target_cost > lowest * (1 + state.config.tie_margin)) {
            continue;
        }
        const choice_reason reason =
            best ? tie_break_reason(state, request, index, *best) : choice_reason::lowest_cost;
        if (reason != choice_reason::no_target) {
            record.reason = reason;
            record.cost_ms = static_cast<float>(target_cost);
            best = index;
        }
    }
    record.target = *best;
    append_record(state, record);
    return *best;
}

void on_start(balancer_state& state, std::uint32_t target, base::time_point /*now*/)
{
    if (target < state.targets.size()) {
        ++state.targets[target].in_flight;
    }
}

void on_end(balancer_state& state, std::uint32_t target, outcome result,
            std::chrono::nanoseconds latency, base::time_point now)
{
    if (target >= state.targets.size() || state.targets[target].in_flight == 0) {
        return;
    }
    target_state& entry = state.targets[target];
    --entry.in_flight;
    switch (result) {
    case outcome::success:
        on_success(state, entry, milliseconds(latency), now);
        signals::on_completed(entry.signals, entry.info.slots, now);
        break;
    case outcome::failure:
        on_failure(state, entry, now);
        break;
    case outcome::load_shed:
        on_load_shed(state, entry, now);
        break;
    case outcome::cancelled:
        entry.trial_running = false;
        break;
    }
}

void on_rest(balancer_state& state, std::uint32_t target, const signals::rest_request& rest,
             base::time_point now)
{
    if (target < state.targets.size()) {
        signals::ask_rest(state.targets[target].signals, rest, now);
    }
}

void on_load_report(balancer_state& state, std::uint32_t target, double load_per_slot,
                    base::time_point /*now*/)
{
    if (target < state.targets.size() && std::isfinite(load_per_slot)) {
        state.targets[target].reported_load = load_per_slot;
    }
}

void set_idle_connections(balancer_state& state, std::uint32_t target, std::uint32_t count)
{
    if (target < state.targets.size()) {
        state.targets[target].idle_connections = count;
    }
}

std::optional<std::uint32_t> find_target(const balancer_state& state, const base::target_id& id)
{
    for (std::uint32_t index = 0; index < state.targets.size(); ++index) {
        if (state.targets[index].present && state.targets[index].info.id == id) {
            return index;
        }
    }
    return std::nullopt;
}

} // namespace snipeshore::balancing
