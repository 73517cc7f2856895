#include "limits/target_limit.h"

#include <doctest/doctest.h>

#include <string>

using namespace snipeshore;
using namespace std::chrono_literals;

namespace {

const base::time_point start = base::time_point{} + 1h;

limits::target_limit make_limit(double rate, double own_rate)
{
    limits::target_limit limit;
    limits::set_rate(limit, rate, start);
    limits::set_share(limit, own_rate, start);
    return limit;
}

/// Requests that a host sends in the window if it always has more.
int sent_in(limits::target_limit& limit, base::time_point from, std::chrono::milliseconds window)
{
    int sent = 0;
    for (base::time_point now = from; now < from + window; now += 5ms) {
        if (limits::has_room(limit, now)) {
            limits::take_token(limit, now);
            ++sent;
        }
    }
    return sent;
}

} // namespace

TEST_CASE("a target's limit is a decimal number of requests per second")
{
    CHECK(limits::parse_target_limit("6.1") == 6.1);
    CHECK(limits::parse_target_limit("15") == 15);
    CHECK(limits::parse_target_limit("0") == 0);
    for (const char* bad : {"", " ", "x", "-1", "-0", "-0.5", "6,1", "6.1/s", "6 ", "nan", "inf",
                            "-inf", "1e999", "0x10", "+5", "6.1, 7"}) {
        INFO(bad);
        CHECK_FALSE(limits::parse_target_limit(bad).has_value());
    }
}

// Guards against a sum over all hosts that is above the limit, and against shares so small that a
// host never sends a request.
TEST_CASE("the shares of all hosts add up to the limit")
{
    for (const double rate : {0.0, 0.05, 0.5, 1.0, 1.5, 6.1, 15.1, 80.0, 1e6}) {
        for (const std::size_t near : {0U, 1U, 2U, 14U, 60U}) {
            for (const std::size_t others : {0U, 1U, 8U, 67U, 940U}) {
                if (near + others == 0) {
                    continue;
                }
                INFO(rate, " ", near, " ", others);
                const auto division = limits::divide_target_limit(rate, near, others);
                CHECK(division.near_owners <= near);
                CHECK(division.other_owners <= others);
                CHECK(division.near_owners + division.other_owners >= 1);
                const double sum = static_cast<double>(division.near_owners) * division.near_rate +
                                   static_cast<double>(division.other_owners) * division.other_rate;
                CHECK(sum == doctest::Approx(std::max(rate, 0.2)));
                if (division.near_owners > 1) {
                    CHECK(division.near_rate >= 1);
                }
                if (near > 0 && division.other_owners > 0) {
                    CHECK(division.other_rate >= 1);
                }
            }
        }
    }
}

// The users' bound: in any 4 s, one and a half times the limit and 5 more.
TEST_CASE("hosts that keep to their shares keep a target within its bound")
{
    for (const double rate : {0.0, 0.5, 1.0, 6.1, 15.1, 80.0}) {
        for (const std::size_t near : {1U, 2U, 14U}) {
            for (const std::size_t others : {0U, 8U, 67U}) {
                INFO(rate, " ", near, " ", others);
                const auto division = limits::divide_target_limit(rate, near, others);
                double sent = 0;
                for (std::size_t owner = 0; owner < division.near_owners; ++owner) {
                    limits::target_limit limit = make_limit(rate, division.near_rate);
                    sent += sent_in(limit, start + 10s, 4s); // After a pause, with all tokens.
                }
                for (std::size_t owner = 0; owner < division.other_owners; ++owner) {
                    limits::target_limit limit = make_limit(rate, division.other_rate);
                    sent += sent_in(limit, start + 10s, 4s);
                }
                CHECK(sent <= 1.5 * rate * 4 + 5);
                CHECK(sent >= rate * 4 * 0.8);
            }
        }
    }
}

TEST_CASE("a host's share of a target's limit")
{
    SUBCASE("begins without tokens, since others may have sent what the limit allows")
    {
        limits::target_limit limit = make_limit(4, 2);
        CHECK_FALSE(limits::has_room(limit, start));
        CHECK(limits::time_to_room(limit, start) == 500ms);
        CHECK(limits::has_room(limit, start + 500ms));
    }
    SUBCASE("follows a limit that falls or rises at once")
    {
        limits::target_limit limit = make_limit(50, 50);
        CHECK(sent_in(limit, start, 4s) > 150);
        limits::set_rate(limit, 2, start + 4s);
        limits::set_share(limit, 2, start + 4s);
        CHECK(sent_in(limit, start + 4s, 4s) <= 9);
        limits::set_share(limit, 50, start + 8s);
        CHECK(sent_in(limit, start + 8s, 4s) > 150);
    }
    SUBCASE("of nothing allows nothing")
    {
        limits::target_limit limit = make_limit(4, 0);
        CHECK(sent_in(limit, start, 1min) == 0);
        CHECK_FALSE(limits::time_to_room(limit, start).has_value());
    }
    SUBCASE("ends with the limit")
    {
        limits::target_limit limit = make_limit(4, 0);
        limits::end_limit(limit);
        CHECK(limits::has_room(limit, start));
        CHECK(sent_in(limit, start, 1s) == 200);
    }
}
