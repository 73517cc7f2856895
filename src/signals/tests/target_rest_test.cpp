#include "signals/target_rest.h"

#include <doctest/doctest.h>

#include <limits>

using namespace snipeshore;
using namespace std::chrono_literals;

namespace {

constexpr base::time_point start = base::time_point{} + 1h;
constexpr std::uint64_t latest = std::numeric_limits<std::uint64_t>::max();

} // namespace

TEST_CASE("a target that has said nothing takes any number of requests")
{
    const signals::target_signals quiet;
    CHECK(signals::may_send(quiet, 1000, start));
    CHECK_FALSE(signals::return_time(quiet, start).has_value());
}

TEST_CASE("a target that leaves takes none")
{
    signals::target_signals leaving;
    leaving.is_leaving = true;
    CHECK_FALSE(signals::may_send(leaving, 0, start + 24h));
    CHECK_FALSE(signals::return_time(leaving, start).has_value());
}

TEST_CASE("a target that has asked for a rest")
{
    signals::target_signals target;
    signals::ask_rest(target, {2s}, start);
    SUBCASE("takes none until its end")
    {
        CHECK_FALSE(signals::may_send(target, 0, start));
        CHECK_FALSE(signals::may_send(target, 0, start + 1999ms));
        CHECK(signals::return_time(target, start) == start + 2s);
        CHECK(signals::may_send(target, 0, start + 2s));
    }
    SUBCASE("rests until the latest end that it has named")
    {
        signals::ask_rest(target, {100ms}, start + 1s);
        CHECK_FALSE(signals::may_send(target, 0, start + 1999ms));
        signals::ask_rest(target, {3s}, start + 1s);
        CHECK_FALSE(signals::may_send(target, 0, start + 3999ms));
        CHECK(signals::may_send(target, 0, start + 4s));
    }
    SUBCASE("is not back because a request that it took before completes")
    {
        signals::on_completed(target, 1, start + 1s);
        CHECK_FALSE(signals::may_send(target, 0, start + 1s));
    }
    SUBCASE("gets one request first, then more with each that it completes")
    {
        const base::time_point back = start + 2s;
        CHECK(signals::may_send(target, 0, back));
        CHECK_FALSE(signals::may_send(target, 1, back));
        signals::on_completed(target, 4, back);
        CHECK(signals::may_send(target, 1, back));
        CHECK_FALSE(signals::may_send(target, 2, back));
        signals::on_completed(target, 4, back);
        CHECK(signals::may_send(target, 1000, back));
    }
    SUBCASE("starts over if it asks again")
    {
        signals::on_completed(target, 8, start + 2s);
        signals::ask_rest(target, {1s}, start + 3s);
        CHECK_FALSE(signals::may_send(target, 0, start + 3500ms));
        CHECK_FALSE(signals::may_send(target, 1, start + 4s));
        CHECK(signals::may_send(target, 0, start + 4s));
    }
    SUBCASE("is returned to by each host at another moment, at most 2 s late")
    {
        signals::target_signals other;
        signals::ask_rest(other, {2s, 1000, latest}, start);
        CHECK(*signals::return_time(other, start) > start + 2900ms);
        CHECK(*signals::return_time(other, start) <= start + 3s);
        signals::ask_rest(other, {1h, 1000, latest}, start);
        CHECK(*signals::return_time(other, start) <= start + 1h + 2s);
        signals::target_signals of_few;
        signals::ask_rest(of_few, {2s, 10, latest}, start);
        CHECK(*signals::return_time(of_few, start) <= start + 2100ms);
    }
}

TEST_CASE("refused callers return at different moments, none before the first target")
{
    CHECK(signals::spread_delay(1s, 0) == base::duration(1s));
    CHECK(signals::spread_delay(1s, latest) > 1400ms);
    CHECK(signals::spread_delay(1s, latest) <= 1500ms);
    CHECK(signals::spread_delay(1h, latest) <= 1h + 2s);
}
