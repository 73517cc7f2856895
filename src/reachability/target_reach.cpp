#include "reachability/target_reach.h"

#include <algorithm>
#include <chrono>

namespace snipeshore::reachability {

namespace {

/// Targets that fail to connect within `failure_window` make the paths suspicious. A single target
/// may be down.
constexpr std::size_t suspicious_failures = 2;
constexpr std::chrono::milliseconds failure_window{1500};

/// Silence of all targets for this multiple of the predicted time is suspicious.
constexpr int silence_factor = 3;

/// Targets in other regions and bursts on links delay responses by up to this much.
constexpr std::chrono::milliseconds min_silence{300};

/// Failed rounds in a row that show a cut. One may be due to a loop that was paused, or packet
/// loss.
constexpr unsigned rounds_to_cut = 2;

/// Delay after a round that has shown no cut, to bound the cost of targets that are really down.
constexpr std::chrono::milliseconds suspicion_interval{700};

/// Interval of the rounds that find the end of a cut.
constexpr std::chrono::milliseconds recovery_interval{500};

/// Rounds in a row that end a cut. They double, up to the limit, each time that paths are lost
/// again soon after a recovery, so that look-ups do not follow links that come and go.
constexpr unsigned min_rounds_to_recover = 2;
constexpr unsigned max_rounds_to_recover = 16;
constexpr std::chrono::seconds relapse_time{10};

bool is_suspicious(const target_reach& reach, base::time_point now)
{
    if (reach.silent_at.has_value() && now >= *reach.silent_at) {
        return true;
    }
    const auto recent =
        std::count_if(reach.failures.begin(), reach.failures.end(),
                      [now](const auto& failure) { return now - failure.second < failure_window; });
    return static_cast<std::size_t>(recent) >= suspicious_failures;
}

/// Refusals count even while responses arrive: existing connections may outlive the paths for new
/// ones. Time-outs may be due to packet loss as long as responses arrive.
bool has_failed(const target_reach& reach)
{
    const probe_round& round = reach.round;
    return round.connected == 0 && (round.timed_out == 0 || reach.last_response < round.begun);
}

void enter_cut(target_reach& reach, base::time_point now)
{
    const bool is_relapse = reach.rounds_to_recover > 0 && now - reach.changed_at < relapse_time;
    reach.rounds_to_recover = is_relapse
                                  ? std::min(reach.rounds_to_recover * 2, max_rounds_to_recover)
                                  : min_rounds_to_recover;
    reach.is_cut = true;
    reach.changed_at = now;
    reach.rounds_in_row = 0;
    reach.silent_at.reset();
    reach.failures.clear();
}

void leave_cut(target_reach& reach, base::time_point now)
{
    reach.is_cut = false;
    reach.changed_at = now;
    reach.rounds_in_row = 0;
    reach.silent_at.reset();
    reach.failures.clear();
}

bool end_round(target_reach& reach, base::time_point now)
{
    const bool failed = has_failed(reach);
    const bool contradicts = reach.is_cut != failed;
    reach.rounds_in_row = contradicts ? reach.rounds_in_row + 1 : 0;
    if (reach.is_cut) {
        reach.next_round = now + recovery_interval;
        if (reach.rounds_in_row >= reach.rounds_to_recover) {
            leave_cut(reach, now);
            return true;
        }
        return false;
    }
    if (reach.rounds_in_row >= rounds_to_cut) {
        enter_cut(reach, now);
        reach.next_round = now + recovery_interval;
        return true;
    }
    if (!failed) {
        reach.failures.clear();
        reach.silent_at.reset();
        reach.next_round = now + suspicion_interval;
    }
    return false;
}

} // namespace

void on_request_sent(target_reach& reach, base::duration predicted, base::time_point now)
{
    if (reach.is_cut) {
        return;
    }
    const base::time_point due =
        now + std::max<base::duration>(min_silence, predicted * silence_factor);
    reach.silent_at = std::min(reach.silent_at.value_or(due), due);
}

void on_response(target_reach& reach, base::time_point now)
{
    reach.last_response = now;
    reach.silent_at.reset();
}

void on_connect_failed(target_reach& reach, const base::target_id& target, base::time_point now)
{
    if (reach.is_cut) {
        return;
    }
    std::erase_if(reach.failures,
                  [now](const auto& failure) { return now - failure.second >= failure_window; });
    reach.failures[target] = now;
}

bool should_probe(const target_reach& reach, base::time_point now)
{
    if (reach.round.open > 0 || now < reach.next_round) {
        return false;
    }
    return reach.is_cut || reach.rounds_in_row > 0 || is_suspicious(reach, now);
}

std::optional<base::time_point> next_check(const target_reach& reach, base::time_point now)
{
    if (reach.round.open > 0) {
        return std::nullopt;
    }
    if (reach.is_cut || reach.rounds_in_row > 0 || is_suspicious(reach, now)) {
        return std::max(reach.next_round, now);
    }
    if (reach.silent_at.has_value()) {
        return std::max(reach.next_round, *reach.silent_at);
    }
    return std::nullopt;
}

void begin_round(target_reach& reach, std::size_t probes, base::time_point now)
{
    reach.round = {probes, 0, 0, now};
}

bool on_probe_result(target_reach& reach, probe_result result, base::time_point now)
{
    probe_round& round = reach.round;
    if (round.open == 0) {
        return false;
    }
    --round.open;
    round.connected += result == probe_result::connected ? 1 : 0;
    round.timed_out += result == probe_result::timed_out ? 1 : 0;
    if (result == probe_result::connected) {
        reach.last_connected = now;
    }
    return round.open == 0 && end_round(reach, now);
}

} // namespace snipeshore::reachability
