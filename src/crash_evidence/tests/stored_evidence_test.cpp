#include "crash_evidence/stored_evidence.h"

#include "crash_evidence/crash_watch.h"
#include "fleet/exchange_encoding.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace snipeshore;
using namespace std::chrono_literals;

namespace {

using fleet::notice_kind;

const base::time_point start = base::time_point{} + 1h;
constexpr std::chrono::milliseconds unix_start{1'800'000'000'000};

fleet::notice crash_of(const std::string& request, const std::string& target, base::time_point at)
{
    return {notice_kind::crash, request + "/" + target, 50, at};
}

fleet::notice quarantine_of(const std::string& request, unsigned level, base::time_point at)
{
    return {notice_kind::quarantine, request, static_cast<double>(level), at};
}

/// What a process reads `later` that has only the wall clock in common with the writer.
std::vector<fleet::notice> read_later(const crash_evidence::stored_evidence& evidence,
                                      base::time_point written, std::chrono::milliseconds later,
                                      base::time_point reader_now)
{
    const std::string text = fleet::encode(crash_evidence::make_row(evidence, written, unix_start));
    const auto row = fleet::parse_stored_notices(text);
    REQUIRE(base::is_ok(row));
    return crash_evidence::read_row(base::value_of(row), reader_now, unix_start + later);
}

} // namespace

// Guards against evidence that ends with the processes that have it.
TEST_CASE("evidence in the store is as old for its reader as it was for its writer")
{
    crash_evidence::stored_evidence evidence;
    crash_evidence::keep_notice(evidence, crash_of("a", "t1", start), start + 1s);
    crash_evidence::keep_notice(evidence, quarantine_of("b", 1, start + 1s), start + 1s);
    // The reader's machine has just started, so that the evidence is older than its clock.
    const base::time_point now = base::time_point{} + 5s;
    SUBCASE("also on a machine that started after the crash")
    {
        const auto read = read_later(evidence, start + 2s, 10s, now);
        REQUIRE(read.size() == 2);
        CHECK(read[0].subject == "a/t1");
        CHECK(read[0].observed_at == now - 12s);
        CHECK(read[1].subject == "b");
        CHECK(read[1].observed_at == now - 11s);
    }
    SUBCASE("a clock that is behind the writer's makes it no newer than when it was written")
    {
        CHECK(read_later(evidence, start + 2s, -1h, now).at(0).observed_at == now - 2s);
    }
    SUBCASE("what has no effect any more is not read")
    {
        const auto read = read_later(evidence, start + 2s, 2min, now);
        REQUIRE(read.size() == 1);
        CHECK(read[0].kind == notice_kind::quarantine);
        CHECK(read_later(evidence, start + 2s, 26h, now).empty());
        CHECK_FALSE(crash_evidence::is_outdated({unix_start, {}}, unix_start + 26h));
        CHECK(crash_evidence::is_outdated({unix_start, {}}, unix_start + 24h * 8));
    }
    SUBCASE("a quarantine that was read ends when it would have ended")
    {
        crash_evidence::crash_watch watch;
        crash_evidence::stored_evidence own;
        crash_evidence::keep_notice(own, quarantine_of("7", 1, start), start);
        for (const auto& one : read_later(own, start, 20s, now)) {
            crash_evidence::apply_notice(watch, one, now);
        }
        CHECK(crash_evidence::is_quarantined(watch, 7, now + 9s));
        CHECK_FALSE(crash_evidence::is_quarantined(watch, 7, now + 11s));
    }
}

TEST_CASE("the row is written when its content has changed")
{
    crash_evidence::stored_evidence evidence;
    crash_evidence::keep_notice(evidence, crash_of("a", "t1", start), start + 1s);
    REQUIRE(evidence.write_by == start + 1s);
    SUBCASE("sooner, if a later notice is urgent")
    {
        crash_evidence::keep_notice(evidence, quarantine_of("a", 1, start + 100ms), start + 100ms);
        CHECK(evidence.write_by == start + 100ms);
    }
    SUBCASE("not at all, if the request got its response before")
    {
        crash_evidence::clear_request(evidence, quarantine_of("a", 0, start + 500ms),
                                      crash_evidence::keep_clearance::if_stored, start + 2s);
        CHECK_FALSE(evidence.write_by.has_value());
    }
    SUBCASE("again, if the store may not have it")
    {
        crash_evidence::on_row_sent(evidence);
        CHECK_FALSE(evidence.write_by.has_value());
        crash_evidence::on_row_lost(evidence, start + 3s);
        CHECK(evidence.write_by == start + 3s);
    }
    SUBCASE("a last time, when all of it has expired")
    {
        crash_evidence::on_row_sent(evidence);
        crash_evidence::on_row_written(evidence);
        crash_evidence::drop_expired(evidence, start + 30s);
        CHECK_FALSE(evidence.write_by.has_value());
        crash_evidence::drop_expired(evidence, start + 2min);
        CHECK(evidence.write_by == start + 2min);
        crash_evidence::on_row_sent(evidence);
        crash_evidence::on_row_written(evidence);
        crash_evidence::drop_expired(evidence, start + 3min);
        CHECK_FALSE(evidence.write_by.has_value());
    }
}

// Guards against innocent requests in quarantine after a restart of all hosts.
TEST_CASE("a response voids the evidence that the store has")
{
    crash_evidence::stored_evidence evidence;
    SUBCASE("the own one, whoever saw the response")
    {
        crash_evidence::keep_notice(evidence, crash_of("a", "t1", start), start);
        crash_evidence::on_row_sent(evidence);
        crash_evidence::clear_request(evidence, quarantine_of("a", 0, start + 1s),
                                      crash_evidence::keep_clearance::if_stored, start + 3s);
        CHECK(evidence.write_by == start + 3s);
        const auto read = read_later(evidence, start + 3s, 0s, start);
        REQUIRE(read.size() == 1);
        CHECK(read[0].value == 0);
    }
    SUBCASE("once: hosts that hear of the response only drop what they have")
    {
        crash_evidence::note_stored(evidence, crash_of("a", "t1", start));
        crash_evidence::clear_request(evidence, quarantine_of("a", 0, start + 1s),
                                      crash_evidence::keep_clearance::no, start + 3s);
        CHECK_FALSE(evidence.write_by.has_value());
    }
    SUBCASE("that of other processes, which do not write any more")
    {
        crash_evidence::note_stored(evidence, crash_of("a", "t1", start));
        crash_evidence::clear_request(evidence, quarantine_of("a", 0, start + 1s),
                                      crash_evidence::keep_clearance::if_stored, start + 3s);
        CHECK(read_later(evidence, start + 3s, 0s, start).size() == 1);
    }
    SUBCASE("but not that of a later crash")
    {
        crash_evidence::keep_notice(evidence, crash_of("a", "t2", start + 2s), start + 2s);
        crash_evidence::clear_request(evidence, quarantine_of("a", 0, start + 1s),
                                      crash_evidence::keep_clearance::yes, start + 3s);
        CHECK(read_later(evidence, start + 3s, 0s, start).back().subject == "a/t2");
    }
}

// Guards against a row that the store rejects because of its size.
TEST_CASE("a row has a bounded size, and quarantines come first")
{
    crash_evidence::stored_evidence evidence;
    const std::string long_target(200, 't');
    crash_evidence::keep_notice(evidence, quarantine_of("q", 1, start), start);
    for (int i = 0; i < 500; ++i) {
        crash_evidence::keep_notice(evidence, crash_of(std::to_string(i), long_target, start + 1s),
                                    start);
    }
    const auto row = crash_evidence::make_row(evidence, start + 2s, unix_start);
    CHECK(fleet::encode(row).size() < 48U << 10U);
    CHECK(row.notices.front().kind == notice_kind::quarantine);
}
