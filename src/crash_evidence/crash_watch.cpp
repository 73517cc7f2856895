#include "crash_evidence/crash_watch.h"

#include "crash_evidence/culprit.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>
#include <utility>

namespace snipeshore::crash_evidence {

namespace {

using namespace std::chrono_literals;

/// Time for which a request is held at each level. The fleet then tries it once, so that a request
/// that goes on crashing its targets ends three more of them in the first day.
constexpr std::array<std::chrono::seconds, 4> hold_times{30s, 8min, 2h, 24h};

/// Fraction of the hold time after which a run counts as a trial: hosts hear of a quarantine at
/// slightly different times.
constexpr double trial_fraction = 0.9;

constexpr std::chrono::seconds suspicion_time{60};
constexpr std::chrono::hours memory_after_hold{24};

/// A check of whether the target still runs takes no longer.
constexpr std::chrono::milliseconds check_time{500};

/// Wait told to callers whose request another host may try.
constexpr std::chrono::milliseconds short_wait{1000};

/// Reports without times are repeated for five seconds, so all within this time are one crash.
constexpr std::chrono::milliseconds untimed_run{6000};

/// Hosts whose runs are counted for a suspect; more would not change a decision.
constexpr std::size_t max_outlived_hosts = 64;

/// Largest number of outlived runs that is taken over from another host.
constexpr unsigned max_counted_runs = 10'000;

constexpr std::size_t max_suspects = 4096;
constexpr std::size_t max_runs = 16;
constexpr std::size_t max_unclear = 1024;
constexpr int subject_base = 16;

base::duration hold_time(const suspect& one)
{
    return hold_times.at(std::min<std::size_t>(one.level, hold_times.size()) - 1);
}

base::time_point held_until(const suspect& one)
{
    return std::max(one.quarantined_at, one.trial_at) + hold_time(one);
}

base::time_point expires_at(const suspect& one)
{
    if (one.level > 0) {
        return held_until(one) + memory_after_hold;
    }
    base::time_point last = base::time_point::min();
    for (const broken_request& run : one.runs) {
        last = std::max(last, run.broken_at);
    }
    return last + suspicion_time;
}

/// Makes room for one more suspect.
void evict_suspect(crash_watch& watch)
{
    if (watch.suspects.size() < max_suspects) {
        return;
    }
    const auto oldest = std::min_element(
        watch.suspects.begin(), watch.suspects.end(), [](const auto& left, const auto& right) {
            return std::pair(left.second.level > 0, expires_at(left.second)) <
                   std::pair(right.second.level > 0, expires_at(right.second));
        });
    watch.suspects.erase(oldest);
}

suspect& suspect_of(crash_watch& watch, std::uint64_t fingerprint, base::time_point now)
{
    const auto found = watch.suspects.find(fingerprint);
    if (found != watch.suspects.end() && expires_at(found->second) > now) {
        return found->second;
    }
    if (found == watch.suspects.end()) {
        evict_suspect(watch);
    }
    return watch.suspects[fingerprint] = {};
}

fleet::notice quarantine_notice(std::uint64_t fingerprint, unsigned level, base::time_point now)
{
    return {fleet::notice_kind::quarantine, subject_of(fingerprint), static_cast<double>(level),
            now};
}

fleet::notice crash_notice(const broken_request& run)
{
    const auto took =
        std::chrono::duration<double, std::milli>(run.broken_at - run.sent_at).count();
    // A target that starts again under its id may be crashed again: these are two facts.
    const std::string process = run.started_ms == 0 ? "" : "/" + std::to_string(run.started_ms);
    return {fleet::notice_kind::crash,
            subject_of(run.fingerprint) + "/" + run.target.value() + process, took, run.broken_at};
}

/// Whether the quarantine had passed when the run was sent.
bool is_trial(const suspect& one, base::time_point sent_at)
{
    if (one.level == 0) {
        return false;
    }
    const auto delay = std::chrono::duration_cast<base::duration>(hold_time(one) * trial_fraction);
    return sent_at >= one.quarantined_at + delay;
}

/// Records that the run ended its target. Returns a notice if the request is in quarantine from now
/// on, or for longer.
std::optional<fleet::notice> record_crash(crash_watch& watch, const broken_request& run,
                                          base::time_point now)
{
    suspect& found = suspect_of(watch, run.fingerprint, now);
    if (found.level == 0) {
        if (found.runs.size() >= max_runs) {
            found.runs.erase(found.runs.begin());
        }
        found.runs.push_back(run);
        if (!is_culprit(watch, found, found.runs)) {
            return std::nullopt;
        }
    } else if (!is_trial(found, run.sent_at)) {
        return std::nullopt;
    }
    ++found.level;
    found.quarantined_at = now;
    return quarantine_notice(run.fingerprint, found.level, now);
}

/// Reads the fingerprint at the beginning of a notice's subject.
std::optional<std::uint64_t> read_fingerprint(std::string_view subject)
{
    const std::string_view digits = subject.substr(0, subject.find('/'));
    std::uint64_t value = 0;
    const char* const end = digits.data() + digits.size();
    const auto [stop, failure] = std::from_chars(digits.data(), end, value, subject_base);
    return failure == std::errc() && stop == end ? std::optional(value) : std::nullopt;
}

/// Applies a success at that time: the runs before it are no evidence.
void clear_until(crash_watch& watch, std::uint64_t fingerprint, base::time_point success_at)
{
    const auto found = watch.suspects.find(fingerprint);
    if (found == watch.suspects.end()) {
        return;
    }
    std::erase_if(found->second.runs,
                  [success_at](const broken_request& run) { return run.broken_at <= success_at; });
    if (found->second.level > 0 || found->second.runs.empty()) {
        watch.suspects.erase(found);
    }
}

void apply_quarantine(crash_watch& watch, std::uint64_t fingerprint, const fleet::notice& heard,
                      base::time_point now)
{
    const auto level =
        static_cast<unsigned>(std::clamp(heard.value, 0.0, static_cast<double>(hold_times.size())));
    const auto known = watch.suspects.find(fingerprint);
    if (known != watch.suspects.end() && known->second.level > 0 &&
        known->second.quarantined_at >= heard.observed_at) {
        return;
    }
    if (level == 0) {
        clear_until(watch, fingerprint, heard.observed_at);
        return;
    }
    suspect& found = suspect_of(watch, fingerprint, now);
    found.level = level;
    found.quarantined_at = heard.observed_at;
}

void apply_outlived(crash_watch& watch, std::uint64_t fingerprint, const std::string& host,
                    double runs)
{
    const auto found = watch.suspects.find(fingerprint);
    if (found == watch.suspects.end() || !(runs > 0)) {
        return;
    }
    std::map<std::string, unsigned>& by_host = found->second.outlived_elsewhere;
    if (by_host.contains(host) || by_host.size() < max_outlived_hosts) {
        by_host[host] = static_cast<unsigned>(std::min(runs, double{max_counted_runs}));
    }
}

/// Takes the given-up runs that may have ended the target, the last one of each request: they are
/// one piece of evidence.
std::vector<broken_request> take_given_up(crash_watch& watch, const base::target_id& target,
                                          base::duration noticed_within, base::time_point now)
{
    const auto at_target = watch.given_up.targets.find(target);
    const std::int64_t started_ms =
        at_target == watch.given_up.targets.end() ? 0 : at_target->second.started_ms;
    std::map<std::uint64_t, broken_request> last_runs;
    for (const given_up_run& run : take_ended(watch.given_up, target, noticed_within, now)) {
        last_runs[run.fingerprint] = {target, run.fingerprint, run.sent_at, now, started_ms};
        const auto found = watch.suspects.find(run.fingerprint);
        if (run.is_outlived && found != watch.suspects.end() && found->second.outlived > 0) {
            --found->second.outlived;
        }
    }
    std::vector<broken_request> runs;
    for (const auto& [fingerprint, run] : last_runs) {
        runs.push_back(run);
    }
    return runs;
}

} // namespace

std::string subject_of(std::uint64_t fingerprint)
{
    std::array<char, 16> digits{};
    const auto written =
        std::to_chars(digits.data(), digits.data() + digits.size(), fingerprint, subject_base);
    return {digits.data(), written.ptr};
}

void on_given_up(crash_watch& watch, const target_process& at, const given_up_run& run)
{
    add_run(watch.given_up, at, run);
}

std::vector<base::target_id> targets_to_check(const crash_watch& watch, base::time_point now)
{
    if (watch.suspects.empty()) {
        return {};
    }
    return targets_of(
        watch.given_up,
        [&](std::uint64_t fingerprint) { return watch.suspects.contains(fingerprint); }, now);
}

void on_connection_broken(crash_watch& watch, const broken_request& request)
{
    std::erase_if(watch.unclear, [&](const broken_request& old) {
        return request.broken_at - old.broken_at > crash_evidence_time;
    });
    if (watch.unclear.size() < max_unclear) {
        watch.unclear.push_back(request);
    }
}

std::optional<base::target_id> target_of(const fleet::notice& crash)
{
    const std::size_t slash = crash.subject.find('/');
    if (crash.kind != fleet::notice_kind::crash || slash == std::string::npos) {
        return std::nullopt;
    }
    std::string target = crash.subject.substr(slash + 1);
    // Hosts of earlier versions do not name the process.
    const std::size_t process = target.rfind('/');
    if (process != std::string::npos &&
        target.find_first_not_of("0123456789", process + 1) == std::string::npos) {
        target.resize(process);
    }
    return base::target_id(std::move(target));
}

bool has_open_runs(const crash_watch& watch, const base::target_id& target)
{
    const bool has_unclear =
        std::any_of(watch.unclear.begin(), watch.unclear.end(),
                    [&](const broken_request& run) { return run.target == target; });
    return has_unclear || watch.given_up.targets.contains(target);
}

std::vector<fleet::notice> on_target_ended(crash_watch& watch, const base::target_id& target,
                                           base::time_point now, base::duration noticed_within)
{
    std::vector<fleet::notice> notices;
    std::vector<broken_request> ended = take_given_up(watch, target, noticed_within, now);
    for (const broken_request& run : watch.unclear) {
        if (run.target == target && now - run.broken_at <= crash_evidence_time) {
            ended.push_back(run);
        }
    }
    for (const broken_request& run : ended) {
        notices.push_back(crash_notice(run));
        if (auto quarantine = record_crash(watch, run, now)) {
            notices.push_back(std::move(*quarantine));
        }
    }
    on_target_running(watch, target);
    return notices;
}

bool is_confirmed(const crash_watch& watch, const fleet::notice& made)
{
    const auto fingerprint = read_fingerprint(made.subject);
    const auto found =
        fingerprint.has_value() ? watch.suspects.find(*fingerprint) : watch.suspects.end();
    return found != watch.suspects.end() &&
           (found->second.level > 0 || found->second.runs.size() > 1);
}

fleet::notice trial_notice(const crash_watch& watch, std::uint64_t fingerprint)
{
    const suspect& tried = watch.suspects.at(fingerprint);
    return quarantine_notice(fingerprint, tried.level, tried.trial_at);
}

void on_target_running(crash_watch& watch, const base::target_id& target)
{
    std::erase_if(watch.unclear, [&](const broken_request& run) { return run.target == target; });
}

std::vector<fleet::notice> on_target_alive(crash_watch& watch, const base::target_id& target,
                                           base::time_point now)
{
    std::vector<fleet::notice> notices;
    const outlived_runs outlived = take_outlived(watch.given_up, target, now);
    for (const given_up_run& run : outlived.probably) {
        const auto found = watch.suspects.find(run.fingerprint);
        if (found != watch.suspects.end() && found->second.level == 0) {
            notices.push_back({fleet::notice_kind::outlived,
                               subject_of(run.fingerprint) + "/" + watch.self,
                               static_cast<double>(++found->second.outlived), now});
        }
    }
    // No response shows that a request is harmless whose callers never wait for it.
    for (const given_up_run& run : outlived.surely) {
        const auto found = watch.suspects.find(run.fingerprint);
        if (found != watch.suspects.end() && is_trial(found->second, run.sent_at)) {
            watch.suspects.erase(found);
            notices.push_back(quarantine_notice(run.fingerprint, 0, now));
        }
    }
    return notices;
}

std::optional<fleet::notice> on_response_completed(crash_watch& watch, std::uint64_t fingerprint,
                                                   base::time_point now)
{
    if (watch.suspects.erase(fingerprint) == 0) {
        return std::nullopt;
    }
    return quarantine_notice(fingerprint, 0, now);
}

std::vector<fleet::notice> apply_notice(crash_watch& watch, const fleet::notice& heard,
                                        base::time_point now)
{
    const auto fingerprint = read_fingerprint(heard.subject);
    if (!fingerprint.has_value()) {
        return {};
    }
    if (heard.kind == fleet::notice_kind::quarantine) {
        apply_quarantine(watch, *fingerprint, heard, now);
        return {};
    }
    const std::size_t slash = heard.subject.find('/');
    if (slash == std::string::npos) {
        return {};
    }
    if (heard.kind == fleet::notice_kind::outlived) {
        apply_outlived(watch, *fingerprint, heard.subject.substr(slash + 1), heard.value);
        return {};
    }
    const auto took = std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double, std::milli>(std::clamp(heard.value, 0.0, 60'000.0)));
    const auto quarantine = record_crash(
        watch, {*target_of(heard), *fingerprint, heard.observed_at - took, heard.observed_at}, now);
    return quarantine.has_value() ? std::vector{*quarantine} : std::vector<fleet::notice>{};
}

std::vector<fleet::notice> apply_reports(crash_watch& watch,
                                         const std::vector<fleet::crash_report>& reports,
                                         base::time_point now)
{
    std::vector<fleet::notice> notices;
    for (const fleet::crash_report& report : reports) {
        for (const std::uint64_t fingerprint : report.fingerprints) {
            if (auto made = record_crash(
                    watch, {report.target, fingerprint, now - untimed_run, now}, now)) {
                notices.push_back(std::move(*made));
            }
        }
    }
    return notices;
}

quarantine_decision check_quarantine(crash_watch& watch, std::uint64_t fingerprint,
                                     const std::function<bool()>& is_trial_host,
                                     base::time_point now)
{
    if (watch.suspects.empty() && watch.unclear.empty()) {
        return {};
    }
    const auto found = watch.suspects.find(fingerprint);
    if (found == watch.suspects.end() || found->second.level == 0) {
        const suspect known = found == watch.suspects.end() ? suspect{} : found->second;
        std::vector<broken_request> runs = known.runs;
        for (const broken_request& run : watch.unclear) {
            if (run.fingerprint == fingerprint && now - run.broken_at < check_time) {
                runs.push_back(run);
            }
        }
        // Without runs whose targets are being checked, the last crash has decided.
        const bool is_held =
            runs.size() > known.runs.size() && is_culprit(watch, known, std::move(runs));
        return is_held ? quarantine_decision{false, false, check_time} : quarantine_decision{};
    }
    suspect& held = found->second;
    if (now < held_until(held)) {
        return {false, false, held_until(held) - now};
    }
    if (!is_trial_host()) {
        return {false, false, short_wait};
    }
    held.trial_at = now;
    return {true, true, {}};
}

bool has_crashed_before(const crash_watch& watch, std::uint64_t fingerprint,
                        base::time_point sent_at)
{
    const auto is_earlier = [&](const broken_request& run) {
        return run.fingerprint == fingerprint && run.broken_at <= sent_at;
    };
    const bool is_unclear =
        std::any_of(watch.unclear.begin(), watch.unclear.end(), [&](const broken_request& run) {
            return is_earlier(run) && sent_at - run.broken_at < crash_evidence_time;
        });
    if (is_unclear) {
        return true;
    }
    const auto found = watch.suspects.find(fingerprint);
    return found != watch.suspects.end() &&
           (found->second.level > 0 ||
            std::any_of(found->second.runs.begin(), found->second.runs.end(), is_earlier));
}

bool is_quarantined(const crash_watch& watch, std::uint64_t fingerprint, base::time_point now)
{
    const auto found = watch.suspects.find(fingerprint);
    return found != watch.suspects.end() && found->second.level > 0 &&
           now < held_until(found->second);
}

void drop_expired(crash_watch& watch, base::time_point now)
{
    drop_expired(watch.given_up, now);
    std::erase_if(watch.suspects,
                  [now](const auto& entry) { return expires_at(entry.second) <= now; });
}

} // namespace snipeshore::crash_evidence
