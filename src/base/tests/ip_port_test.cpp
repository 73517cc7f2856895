#include "base/ip_port.h"

#include <doctest/doctest.h>

#include <string>

using namespace snipeshore::base;

// Guards against programs, settings and documents that accept different address formats.
TEST_CASE("parse_ip_port accepts only a numeric address with a port")
{
    SUBCASE("IPv4 and bracketed IPv6 addresses are parsed and formatted unchanged")
    {
        for (const char* text : {"127.0.0.1:80", "0.0.0.0:0", "[::1]:65535"}) {
            const auto address = parse_ip_port(text);
            REQUIRE_MESSAGE(address.has_value(), text);
            CHECK(to_string(*address) == text);
        }
    }
    SUBCASE("other formats are rejected")
    {
        for (const char* text :
             {"", ":", "localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:-1",
              "127.0.0.1:80x", "::1:80", "[::1]", "[127.0.0.1]:80", "[]:80", "1.2.3.4.5:80"}) {
            CHECK_FALSE_MESSAGE(parse_ip_port(text).has_value(), text);
        }
        CHECK_FALSE(parse_ip_port(std::string("127.0.0.1\0:80", 13)).has_value());
    }
}
