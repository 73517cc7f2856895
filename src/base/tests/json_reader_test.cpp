#include "base/json_reader.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <string>

using namespace snipeshore::base;
using nlohmann::json;

namespace {

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

// Guards against texts that overflow the stack when the value is copied, compared or written.
TEST_CASE("the nesting depth of JSON texts is limited")
{
    CHECK(parse_json(nested(max_json_depth)).is_array());
    CHECK_FALSE(parse_json_or_discard(nested(max_json_depth)).is_discarded());
    for (const std::size_t depth : {max_json_depth + 1, std::size_t{1'000'000}}) {
        CHECK_THROWS_AS(parse_json(nested(depth)), json::exception);
        CHECK(parse_json_or_discard(nested(depth)).is_discarded());
        CHECK(parse_json_or_discard(std::string(depth, '[')).is_discarded());
        std::string objects;
        for (std::size_t i = 0; i < depth; ++i) {
            objects += "{\"\":";
        }
        CHECK(parse_json_or_discard(objects + "1" + std::string(depth, '}')).is_discarded());
    }
    SUBCASE("brackets inside strings do not count, and strings do not hide brackets")
    {
        const std::string brackets = nested(100);
        const json text{{"a", brackets + "\"" + brackets}, {"b\\", brackets}};
        CHECK(parse_json(text.dump()) == text);
        CHECK(parse_json_or_discard(R"(["\\", "\"", )" + brackets + "]").is_discarded());
    }
    SUBCASE("lists may be long")
    {
        std::string list = "[[]";
        for (int i = 0; i < 1000; ++i) {
            list += ",[{}]";
        }
        CHECK(parse_json(list + "]").size() == 1001);
    }
    SUBCASE("malformed texts are errors")
    {
        for (const char* text : {"", "]", "[}", "\"", "{\"a\"", "\"\\", "\xff"}) {
            CHECK_THROWS_AS(parse_json(text), json::exception);
            CHECK(parse_json_or_discard(text).is_discarded());
        }
    }
}

// Guards against numbers that are truncated to another, valid number.
TEST_CASE("only whole numbers within the limit are counts")
{
    for (const char* text : {"0", "7", "7.0", "0.7e1"}) {
        CHECK(read_count(json::parse(text), 7) == json::parse(text).get<std::uint64_t>());
    }
    CHECK(read_count(json::parse("18446744073709551615"), ~0ULL) == ~0ULL);
    for (const char* text : {"8", "-1", "-1.0", "0.5", "4294967297", "18446744073709551616",
                             "1e300", "true", "null", "\"7\"", "[7]"}) {
        CHECK_THROWS_AS(read_count(json::parse(text), 7), json::exception);
    }
}
