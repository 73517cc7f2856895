#include "apps/host/crash_watch.h"

#include <doctest/doctest.h>

using namespace snipeshore;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t culprit = 1;
constexpr std::uint64_t harmless = 2;
const base::time_point start = base::time_point{} + 1h;
const base::host_id self("h1");

void crash(apps::crash_watch& watch, const std::string& target, std::uint64_t fingerprint,
           base::time_point at)
{
    apps::on_connection_broken(watch, {base::target_id(target), fingerprint, at, at + 50ms});
    apps::on_target_ended(watch, self, base::target_id(target), at + 200ms);
}

} // namespace

TEST_CASE("a request that crashes its targets is quarantined")
{
    apps::crash_watch watch = apps::make_crash_watch();
    SUBCASE("after three crashes it is not sent to a fourth target")
    {
        crash(watch, "t1", culprit, start);
        crash(watch, "t2", culprit, start + 2s);
        CHECK_FALSE(apps::is_quarantined(watch, culprit, start + 3s));
        crash(watch, "t3", culprit, start + 4s);
        CHECK(apps::is_quarantined(watch, culprit, start + 5s));
        CHECK_FALSE(apps::is_quarantined(watch, harmless, start + 5s));
        CHECK_FALSE(apps::is_quarantined(watch, culprit, start + 1min));
    }
    SUBCASE("a broken connection to a target that keeps running is not a crash")
    {
        for (int i = 0; i < 10; ++i) {
            apps::on_connection_broken(watch, {base::target_id("t1"), culprit, start, start});
        }
        CHECK_FALSE(apps::is_quarantined(watch, culprit, start + 1s));
        CHECK_FALSE(apps::on_target_ended(watch, self, base::target_id("t1"), start + 1min));
    }
    SUBCASE("requests in flight at several targets that terminate together are not quarantined")
    {
        for (const char* target : {"t1", "t2", "t3"}) {
            apps::on_connection_broken(watch,
                                       {base::target_id(target), harmless, start, start + 50ms});
        }
        for (const char* target : {"t1", "t2", "t3"}) {
            apps::on_target_ended(watch, self, base::target_id(target), start + 100ms);
        }
        CHECK_FALSE(apps::is_quarantined(watch, harmless, start + 1s));
    }
    SUBCASE("a response clears a request that was in flight during crashes by chance")
    {
        for (int i = 0; i < 10; ++i) {
            crash(watch, "t1", harmless, start + i * 10s);
            apps::on_response_completed(watch, harmless);
            CHECK_FALSE(apps::is_quarantined(watch, harmless, start + i * 10s + 1s));
        }
    }
    SUBCASE("hosts exchange crash reports, and each crash counts once")
    {
        apps::crash_watch other = apps::make_crash_watch();
        for (int i = 0; i < 2; ++i) {
            const base::time_point now = start + i * 10s;
            crash(watch, "t" + std::to_string(i), culprit, now);
            const auto reports = apps::recent_reports(watch, now + 1s);
            apps::apply_reports(other, self, reports, now + 1s);
            apps::apply_reports(other, self, reports, now + 2s);
        }
        CHECK_FALSE(apps::is_quarantined(other, culprit, start + 12s));
        apps::on_connection_broken(other,
                                   {base::target_id("t9"), culprit, start + 13s, start + 13s});
        apps::on_target_ended(other, base::host_id("h2"), base::target_id("t9"), start + 14s);
        CHECK(apps::is_quarantined(other, culprit, start + 15s));
        CHECK(apps::recent_reports(watch, start + 1min).empty());
    }
    SUBCASE("many hosts that lose targets at the same time do not quarantine a frequent request")
    {
        for (int host = 0; host < 10; ++host) {
            const std::string name = "h" + std::to_string(host);
            apps::apply_reports(watch, base::host_id(name),
                                {{1, base::target_id("t" + name), {harmless}}},
                                start + host * 100ms);
        }
        CHECK_FALSE(apps::is_quarantined(watch, harmless, start + 2s));
    }
}
