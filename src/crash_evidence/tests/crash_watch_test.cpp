#include "crash_evidence/crash_watch.h"

#include "fleet/bulletin.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace snipeshore;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t culprit = 1;
constexpr std::uint64_t harmless = 2;
const base::time_point start = base::time_point{} + 1h;
/// Tells the other host all notices, and what follows from them back.
void tell(const std::vector<fleet::notice>& notices, crash_evidence::crash_watch& other,
          base::time_point now)
{
    for (const fleet::notice& one : notices) {
        crash_evidence::apply_notice(other, one, now);
    }
}

std::vector<fleet::notice> crash(crash_evidence::crash_watch& watch, const std::string& target,
                                 std::uint64_t fingerprint, base::time_point at)
{
    crash_evidence::on_connection_broken(watch,
                                         {base::target_id(target), fingerprint, at, at + 50ms});
    return crash_evidence::on_target_ended(watch, base::target_id(target), at + 200ms);
}

crash_evidence::quarantine_decision rule(crash_evidence::crash_watch& watch, base::time_point now,
                                         bool is_trial_host = true)
{
    return crash_evidence::check_quarantine(
        watch, culprit, [is_trial_host] { return is_trial_host; }, now);
}

/// Three crashes in a row, the last at `start + 4s`.
std::vector<fleet::notice> quarantine(crash_evidence::crash_watch& watch)
{
    crash(watch, "t1", culprit, start);
    crash(watch, "t2", culprit, start + 2s);
    return crash(watch, "t3", culprit, start + 4s);
}

} // namespace

TEST_CASE("a request that crashes its targets is quarantined")
{
    crash_evidence::crash_watch watch;
    SUBCASE("after three crashes it is not sent to a fourth target")
    {
        crash(watch, "t1", culprit, start);
        crash(watch, "t2", culprit, start + 2s);
        CHECK_FALSE(crash_evidence::is_quarantined(watch, culprit, start + 3s));
        crash(watch, "t3", culprit, start + 4s);
        CHECK(crash_evidence::is_quarantined(watch, culprit, start + 5s));
        CHECK_FALSE(crash_evidence::is_quarantined(watch, harmless, start + 5s));
        CHECK_FALSE(crash_evidence::is_quarantined(watch, culprit, start + 1min));
    }
    SUBCASE("a broken connection to a target that keeps running is not a crash")
    {
        for (int i = 0; i < 10; ++i) {
            crash_evidence::on_connection_broken(watch,
                                                 {base::target_id("t1"), culprit, start, start});
        }
        CHECK_FALSE(crash_evidence::is_quarantined(watch, culprit, start + 1s));
        CHECK(crash_evidence::on_target_ended(watch, base::target_id("t1"), start + 1min).empty());
    }
    SUBCASE("requests in flight at several targets that terminate together are not quarantined")
    {
        for (const char* target : {"t1", "t2", "t3"}) {
            crash_evidence::on_connection_broken(
                watch, {base::target_id(target), harmless, start, start + 50ms});
        }
        for (const char* target : {"t1", "t2", "t3"}) {
            crash_evidence::on_target_ended(watch, base::target_id(target), start + 100ms);
        }
        CHECK_FALSE(crash_evidence::is_quarantined(watch, harmless, start + 1s));
    }
    SUBCASE("a response clears a request that was in flight during crashes by chance")
    {
        for (int i = 0; i < 10; ++i) {
            crash(watch, "t1", harmless, start + i * 10s);
            crash_evidence::on_response_completed(watch, harmless, start + i * 10s);
            CHECK_FALSE(crash_evidence::is_quarantined(watch, harmless, start + i * 10s + 1s));
        }
    }
    SUBCASE("hosts exchange crash reports, and each crash counts once")
    {
        crash_evidence::crash_watch other;
        for (int i = 0; i < 2; ++i) {
            const base::time_point now = start + i * 10s;
            const auto notices = crash(watch, "t" + std::to_string(i), culprit, now);
            CHECK_FALSE(notices.empty());
            tell(notices, other, now + 1s);
            tell(notices, other, now + 2s);
        }
        CHECK_FALSE(crash_evidence::is_quarantined(other, culprit, start + 12s));
        crash_evidence::on_connection_broken(
            other, {base::target_id("t9"), culprit, start + 13s, start + 13s});
        crash_evidence::on_target_ended(other, base::target_id("t9"), start + 14s);
        CHECK(crash_evidence::is_quarantined(other, culprit, start + 15s));
        crash_evidence::drop_expired(watch, start + 2min);
        CHECK(watch.suspects.empty());
    }
    SUBCASE("many hosts that lose targets at the same time do not quarantine a frequent request")
    {
        for (int host = 0; host < 10; ++host) {
            const std::string name = "h" + std::to_string(host);
            crash_evidence::crash_watch other;
            crash_evidence::on_connection_broken(
                other, {base::target_id("t" + name), harmless, start, start + 50ms});
            tell(crash_evidence::on_target_ended(other, base::target_id("t" + name),
                                                 start + host * 100ms),
                 watch, start + host * 100ms);
        }
        CHECK_FALSE(crash_evidence::is_quarantined(watch, harmless, start + 2s));
        CHECK(crash_evidence::check_quarantine(
                  watch, harmless, [] { return false; }, start + 2s)
                  .may_run);
    }
    // Guards against a quarantine by a host that hears of all crashes but sees no response itself.
    SUBCASE("nor do crashes by chance of a request that is answered elsewhere")
    {
        crash_evidence::crash_watch busy;
        for (int i = 0; i < 10; ++i) {
            const base::time_point now = start + i * 1s;
            tell(crash(busy, "t" + std::to_string(i), harmless, now), watch, now + 300ms);
            const auto answered =
                crash_evidence::on_response_completed(busy, harmless, now + 500ms);
            REQUIRE(answered.has_value());
            tell({*answered}, watch, now + 600ms);
            CHECK(crash_evidence::check_quarantine(
                      watch, harmless, [] { return false; }, now + 700ms)
                      .may_run);
        }
        CHECK(watch.suspects.empty());
    }
    // Guards against a count that forgets crashes: a target that starts again under its id is
    // crashed a second time, and the later notice replaced the earlier one.
    SUBCASE(
        "two crashes of one target, which has started again, are two crashes for those who hear")
    {
        fleet::bulletin stored;
        for (int i = 0; i < 3; ++i) {
            const base::time_point at = start + i * 5s;
            crash_evidence::on_connection_broken(
                watch, {base::target_id("t1"), culprit, at, at + 50ms, 1000 + i});
            for (const auto& made :
                 crash_evidence::on_target_ended(watch, base::target_id("t1"), at + 60ms)) {
                CHECK(crash_evidence::target_of(made).value_or(base::target_id("t1")) ==
                      base::target_id("t1"));
                fleet::post(stored, made);
            }
        }
        crash_evidence::crash_watch other;
        for (const auto& [key, made] : stored.notices) {
            if (made.kind == fleet::notice_kind::crash) {
                crash_evidence::apply_notice(other, made, start + 11s);
            }
        }
        CHECK(crash_evidence::is_quarantined(other, culprit, start + 12s));
    }
    SUBCASE("a response ends no suspicion by a later crash")
    {
        const auto first = crash(watch, "t1", culprit, start);
        crash_evidence::crash_watch other;
        tell(crash(other, "t2", culprit, start + 1s), watch, start + 2s);
        fleet::notice answered{fleet::notice_kind::quarantine, crash_evidence::subject_of(culprit),
                               0, start + 500ms};
        crash_evidence::apply_notice(watch, answered, start + 3s);
        CHECK(watch.suspects.at(culprit).runs.size() == 1);
        CHECK_FALSE(first.empty());
    }
    SUBCASE("nor do reports of hosts of an earlier version, which tell no times")
    {
        for (int host = 0; host < 10; ++host) {
            const std::string name = "h" + std::to_string(host);
            crash_evidence::apply_reports(watch, {{1, base::target_id("t" + name), {harmless}}},
                                          start + host * 100ms);
        }
        CHECK_FALSE(crash_evidence::is_quarantined(watch, harmless, start + 2s));
    }
    // Guards against crashes that are not counted: the retry is sent before anybody knows that the
    // first target has ended.
    SUBCASE("a retry that crashes its target counts, although the first crash is noticed later")
    {
        crash_evidence::on_connection_broken(watch,
                                             {base::target_id("t1"), culprit, start, start + 50ms});
        CHECK_FALSE(crash_evidence::has_crashed_before(watch, culprit, start));
        crash_evidence::on_connection_broken(
            watch, {base::target_id("t2"), culprit, start + 50ms, start + 90ms});
        CHECK(crash_evidence::has_crashed_before(watch, culprit, start + 50ms));
        crash_evidence::on_target_ended(watch, base::target_id("t2"), start + 95ms);
        crash_evidence::on_target_ended(watch, base::target_id("t1"), start + 99ms);
        CHECK(rule(watch, start + 1s).may_run);
        crash(watch, "t3", culprit, start + 1s);
        CHECK_FALSE(rule(watch, start + 2s).may_run);
    }
    SUBCASE("runs whose targets are still being checked count for the moment")
    {
        crash(watch, "t1", culprit, start);
        crash(watch, "t2", culprit, start + 1s);
        crash_evidence::on_connection_broken(
            watch, {base::target_id("t3"), culprit, start + 2s, start + 2100ms});
        CHECK_FALSE(rule(watch, start + 2200ms).may_run);
        crash_evidence::on_target_running(watch, base::target_id("t3"));
        CHECK(rule(watch, start + 2200ms).may_run);
    }
}

// Guards against a request that ends further targets after its quarantine: every host tried it
// again, and retried it.
TEST_CASE(
    "a request whose quarantine has passed is tried by one host, once, and less often each time")
{
    crash_evidence::crash_watch watch;
    quarantine(watch);
    const crash_evidence::quarantine_decision held = rule(watch, start + 10s);
    CHECK_FALSE(held.may_run);
    CHECK(held.retry_after > 20s);
    CHECK(held.retry_after < 30s);
    SUBCASE("other hosts than the one that tries it go on refusing it")
    {
        CHECK_FALSE(rule(watch, start + 40s, false).may_run);
    }
    SUBCASE("a trial is not retried, and a second copy is refused meanwhile")
    {
        const crash_evidence::quarantine_decision trial = rule(watch, start + 40s);
        CHECK(trial.may_run);
        CHECK(trial.is_trial);
        CHECK_FALSE(rule(watch, start + 40s).may_run);
    }
    SUBCASE("at most three trials in a day crash their target")
    {
        int crashes = 0;
        crash_evidence::crash_watch other;
        for (base::time_point now = start + 10s; now < start + 24h; now += 5s) {
            if (rule(watch, now).may_run) {
                ++crashes;
                tell(crash(watch, "t" + std::to_string(3 + crashes), culprit, now), other,
                     now + 1s);
            }
        }
        CHECK(crashes == 3);
        CHECK_FALSE(rule(other, start + 24h, false).may_run);
    }
    SUBCASE("a success ends the quarantine on all hosts")
    {
        crash_evidence::crash_watch other;
        tell(quarantine(other), other, start + 5s);
        CHECK(rule(watch, start + 40s).may_run);
        const auto cleared = crash_evidence::on_response_completed(watch, culprit, start + 41s);
        REQUIRE(cleared.has_value());
        tell({*cleared}, other, start + 42s);
        CHECK(rule(watch, start + 43s).may_run);
        CHECK(rule(other, start + 43s, false).may_run);
    }
    SUBCASE("a host that has just started hears of the quarantine")
    {
        crash_evidence::crash_watch started;
        crash_evidence::crash_watch source;
        tell(quarantine(source), started, start + 6s);
        CHECK_FALSE(rule(started, start + 10s).may_run);
    }
}

// Guards against memory that grows with the number of requests.
TEST_CASE("the number of suspects is bounded, and quarantines stay longest")
{
    crash_evidence::crash_watch watch;
    quarantine(watch);
    for (std::uint64_t other = 100; other < 10'100; ++other) {
        crash(watch, "t1", other, start + 5s);
    }
    CHECK(watch.suspects.size() <= 4096);
    CHECK(crash_evidence::is_quarantined(watch, culprit, start + 6s));
}
