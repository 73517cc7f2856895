#include "base/deflate.h"

#include <doctest/doctest.h>

#include <string>

using namespace snipeshore;

TEST_CASE("a compressed text is the same after it was read")
{
    std::string text;
    for (int i = 0; i < 3000; ++i) {
        text += R"({"prefix":"/r)" + std::to_string(i * 7919 % 10007) + R"(/","service":"desk"},)";
    }
    const std::string packed = base::deflate(text);
    CHECK(packed.size() * 5 < text.size());
    CHECK(base::inflate(packed, text.size()) == text);
    CHECK(base::inflate(base::deflate(""), 10) == "");
    SUBCASE("a text larger than expected is an error, so that a small message cannot use up memory")
    {
        CHECK_FALSE(base::inflate(packed, text.size() - 1).has_value());
    }
    SUBCASE("data that end early, go on or are none are an error")
    {
        CHECK_FALSE(base::inflate(packed.substr(0, packed.size() - 1), text.size()).has_value());
        CHECK_FALSE(base::inflate(packed + "x", text.size()).has_value());
        CHECK_FALSE(base::inflate("no data", text.size()).has_value());
        CHECK_FALSE(base::inflate("", text.size()).has_value());
    }
}
