#include "signals/parse_signals.h"

#include <doctest/doctest.h>

#include <string>

using namespace snipeshore;
using namespace std::chrono_literals;

TEST_CASE("a rest is a number of seconds")
{
    CHECK(signals::parse_rest("2") == base::duration(2s));
    CHECK(signals::parse_rest(" 0.25 ") == base::duration(250ms));
    CHECK(signals::parse_rest("31536000") == base::duration(signals::max_rest));
    for (const std::string text : {"", "0", "0.0", "-5", "+5", "1e3", "nan", "inf", "2s", "1,2",
                                   "0x10", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
        CHECK_MESSAGE(!signals::parse_rest(text).has_value(), text);
    }
}

TEST_CASE("only 1 says that a target leaves")
{
    CHECK(signals::parse_leaving("1") == true);
    CHECK(signals::parse_leaving(" 1") == true);
    CHECK(signals::parse_leaving("0") == false);
    for (const std::string text : {"", "true", "11", "1, 1", "yes"}) {
        CHECK_MESSAGE(!signals::parse_leaving(text).has_value(), text);
    }
}
