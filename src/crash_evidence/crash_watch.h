/// @file Finds requests that crash their targets, so that they are not sent to further ones.
#pragma once

#include "base/time.h"
#include "base/types/ids.h"
#include "crash_evidence/given_up_runs.h"
#include "fleet/types/exchange.h"
#include "fleet/types/notice.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipeshore::crash_evidence {

/// A run of a request whose connection broke before the response was complete.
struct broken_request {
    base::target_id target;
    std::uint64_t fingerprint = 0;
    base::time_point sent_at;
    base::time_point broken_at;
    std::int64_t started_ms = 0; ///< Start of the target's process; 0 if it is unknown.
};

/// A request that was running on targets when they ended. Runs that overlap are one piece of
/// evidence: targets that end together take all their requests with them.
struct suspect {
    std::vector<broken_request> runs;
    /// Runs that did not end their target, since the first crash.
    unsigned outlived = 0;
    std::map<std::string, unsigned> outlived_elsewhere; ///< By host.
    unsigned level = 0; ///< 0: not in quarantine. Rises with each trial that ends a target.
    base::time_point quarantined_at{};
    /// Start of this host's last trial. Times before the start of the own machine are negative.
    base::time_point trial_at = base::time_point::min();
};

/// Crash state of one host. Fingerprints are computed by `retries::fingerprint`.
struct crash_watch {
    std::unordered_map<std::uint64_t, suspect> suspects;
    std::vector<broken_request> unclear; ///< It is not known whether their targets have ended.
    given_up_runs given_up;
    std::string self; ///< Name of the own host in notices.
};

void on_connection_broken(crash_watch& watch, const broken_request& request);

/// The target that ended according to a notice; unset if it tells of something else.
std::optional<base::target_id> target_of(const fleet::notice& crash);

/// Whether it is not known what became of all requests that broke or were given up at the target.
bool has_open_runs(const crash_watch& watch, const base::target_id& target);

/// A run was given up without a response.
void on_given_up(crash_watch& watch, const target_process& at, const given_up_run& run);

/// Targets with given-up runs of suspected requests. They have to be checked, since no connection
/// breaks if they end.
std::vector<base::target_id> targets_to_check(const crash_watch& watch, base::time_point now);

/// The end of a target is usually noticed within this time: connections break, or it is checked.
inline constexpr std::chrono::milliseconds usual_notice_time{500};

/// Called when the target accepted no connection, or has started again; it ended at most
/// `noticed_within` ago. Returns notices for the other hosts; none if no request is suspected of
/// having crashed it.
std::vector<fleet::notice> on_target_ended(crash_watch& watch, const base::target_id& target,
                                           base::time_point now,
                                           base::duration noticed_within = usual_notice_time);

/// Whether a notice of this host is more than a single crash at which the request was running.
bool is_confirmed(const crash_watch& watch, const fleet::notice& made);

/// Called when the target has accepted a new connection.
void on_target_running(crash_watch& watch, const base::target_id& target);

/// Called when the target is alive. Returns notices for the other hosts.
std::vector<fleet::notice> on_target_alive(crash_watch& watch, const base::target_id& target,
                                           base::time_point now);

/// Clears the suspicion. Returns a notice if there was one: hosts that get no response to such a
/// request themselves would count crashes by chance as a series.
std::optional<fleet::notice> on_response_completed(crash_watch& watch, std::uint64_t fingerprint,
                                                   base::time_point now);

/// Applies a notice of another host about a crash, a quarantine or outlived runs. Returns notices
/// that follow.
std::vector<fleet::notice> apply_notice(crash_watch& watch, const fleet::notice& heard,
                                        base::time_point now);

/// Applies the crash reports of a host of an earlier version, which do not tell when the request
/// was sent.
std::vector<fleet::notice> apply_reports(crash_watch& watch,
                                         const std::vector<fleet::crash_report>& reports,
                                         base::time_point now);

struct quarantine_decision {
    bool may_run = true;
    bool is_trial = false;         ///< May run on one target, and not be retried.
    base::duration retry_after{0}; ///< If it may not run.
};

/// Notice that a trial of the request has begun. It renews the quarantine: if this host ends before
/// the trial does, no other one tries the request at once.
fleet::notice trial_notice(const crash_watch& watch, std::uint64_t fingerprint);

/// `is_trial_host`: whether this is the one host that tries a request whose quarantine has passed.
quarantine_decision check_quarantine(crash_watch& watch, std::uint64_t fingerprint,
                                     const std::function<bool()>& is_trial_host,
                                     base::time_point now);

/// Whether an earlier run of the request, before the one sent at `sent_at`, has ended its target or
/// may have.
bool has_crashed_before(const crash_watch& watch, std::uint64_t fingerprint,
                        base::time_point sent_at);

/// Whether the request is held now; a request whose quarantine has passed may be tried.
bool is_quarantined(const crash_watch& watch, std::uint64_t fingerprint, base::time_point now);

/// Removes suspects that have no effect any more.
void drop_expired(crash_watch& watch, base::time_point now);

/// Name of the request in notices and for the choice of its trial host.
std::string subject_of(std::uint64_t fingerprint);

} // namespace snipeshore::crash_evidence
