#include "fleet/bulletin.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace snipeshore;
using namespace std::chrono_literals;

namespace {

const base::time_point start = base::time_point{} + 100h;

fleet::notice limit(const std::string& target, double rate, base::time_point at)
{
    return {fleet::notice_kind::target_limit, target, rate, at};
}

} // namespace

TEST_CASE("the newest notice on a subject holds")
{
    fleet::bulletin notices;
    CHECK(fleet::post(notices, limit("t1", 5, start)));
    CHECK_FALSE(fleet::post(notices, limit("t1", 9, start - 1s)));
    CHECK(fleet::post(notices, limit("t2", 9, start)));
    CHECK(fleet::post(notices, limit("t1", 7, start + 10ms)));
    const auto told = fleet::notices_to_tell(notices, start + 1s);
    REQUIRE(told.size() == 2);
    CHECK(told[0].subject == "t1");
    CHECK(told[0].value == 7);
    CHECK(told[0].age == 990ms);
    // Guards against messages that never end: each pass adds the time of a message to the age.
    SUBCASE("a notice that comes back from another host is no news")
    {
        CHECK_FALSE(fleet::post(notices, limit("t1", 7, start + 60ms)));
        CHECK_FALSE(fleet::post(notices, limit("t1", 7, start + 1900ms)));
        CHECK(fleet::post(notices, limit("t1", 7, start + 3s)));
    }
    SUBCASE("a notice reaches a third host with the age that it has by then")
    {
        fleet::bulletin third;
        CHECK(fleet::post(third, fleet::heard(told[0], start + 5s)));
        CHECK(fleet::notices_to_tell(third, start + 5s).front().age == 990ms);
    }
    SUBCASE("it is neither told nor kept after its lifetime")
    {
        CHECK(fleet::notices_to_tell(notices, start + 1min).empty());
        fleet::drop_expired(notices, start + 1min);
        CHECK(notices.notices.empty());
    }
}

TEST_CASE("a crash is not told for longer than hosts suspect its request")
{
    fleet::bulletin notices;
    fleet::post(notices, {fleet::notice_kind::crash, "12/t1", 50, start});
    CHECK(fleet::notices_to_tell(notices, start + 59s).size() == 1);
    CHECK(fleet::notices_to_tell(notices, start + 61s).empty());
    fleet::drop_expired(notices, start + 61s);
    CHECK(notices.notices.empty());
}

// Guards against messages and memory that grow with the number of crashes.
TEST_CASE("the number of notices is bounded for each kind")
{
    fleet::bulletin notices;
    for (int i = 0; i < 5000; ++i) {
        fleet::post(notices, limit("t" + std::to_string(i), 5, start + i * 1ms));
        fleet::post(notices,
                    {fleet::notice_kind::crash, "c" + std::to_string(i), 5, start + i * 1ms});
    }
    fleet::post(notices, {fleet::notice_kind::quarantine, "q", 1, start - 10min});
    const auto told = fleet::notices_to_tell(notices, start + 5s);
    CHECK(told.size() == 16 + 1 + 32);
    CHECK(notices.notices.size() == 512 + 1 + 1024);
    for (const fleet::told_notice& one : told) {
        if (one.kind == fleet::notice_kind::crash) {
            CHECK(std::stoi(one.subject.substr(1)) >= 5000 - 16);
        }
    }
}
