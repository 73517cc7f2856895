#include "config/address.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

using namespace snipeshore::config;

// Guards against overlapping blocks that are not detected because their notations differ.
TEST_CASE("address blocks")
{
    SUBCASE("are read in IPv4 and IPv6 notation")
    {
        REQUIRE(parse_block("10.0.0.0/8"));
        CHECK(parse_block("10.0.0.0/8")->prefix_bits == 104);
        CHECK(parse_block("0.0.0.0/0")->prefix_bits == 96);
        CHECK(parse_block("::/0")->prefix_bits == 0);
        CHECK(parse_block("2001:db8::/32") == parse_block("2001:0db8:0::/32"));
    }
    SUBCASE("are refused when malformed")
    {
        for (const char* text :
             {"", "/", "10.0.0.0", "10.0.0.0/", "10.0.0.0/33", "10.0.0.0/-1", "10.0.0.0/08",
              "10.0.0.0/8 ", " 10.0.0.0/8", "10.0.0/8", "10.0.0.1/8", "010.0.0.0/8", "::/129",
              "::1/64", "::ffff:10.0.0.0/104", "10.0.0.0/8/8", "host/8"}) {
            CAPTURE(text);
            CHECK_FALSE(parse_block(text));
        }
    }
    SUBCASE("contain each other exactly when their addresses do")
    {
        const bool property_holds = rc::check([] {
            const auto bits_a = *rc::gen::inRange(0U, 33U);
            const auto bits_b = *rc::gen::inRange(0U, 33U);
            const auto mask = [](unsigned bits) {
                return bits == 0 ? 0U : ~0U << (32 - bits);
            };
            const std::uint32_t a = *rc::gen::arbitrary<std::uint32_t>() & mask(bits_a);
            // Half of the pairs share their first bits, otherwise containment would be rare.
            const std::uint32_t base = *rc::gen::element(a, *rc::gen::arbitrary<std::uint32_t>());
            const std::uint32_t b = base & mask(bits_b);
            const auto text = [](std::uint32_t address, unsigned bits) {
                return std::to_string(address >> 24U) + "." +
                       std::to_string((address >> 16U) & 255U) + "." +
                       std::to_string((address >> 8U) & 255U) + "." +
                       std::to_string(address & 255U) + "/" + std::to_string(bits);
            };
            const auto outer = parse_block(text(a, bits_a));
            const auto inner = parse_block(text(b, bits_b));
            RC_ASSERT(outer.has_value());
            RC_ASSERT(inner.has_value());
            RC_ASSERT(contains(*outer, *inner) == (bits_a <= bits_b && (b & mask(bits_a)) == a));
        });
        CHECK(property_holds);
    }
}

TEST_CASE("addresses need an IP address and a port")
{
    CHECK(is_ip_port("127.0.0.1:80"));
    CHECK(is_ip_port("[::1]:80"));
    for (const char* text : {"", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536",
                             "::1:80", "[::1]", "host:80", "127.0.0.1:80x", "[127.0.0.1]:80"}) {
        CAPTURE(text);
        CHECK_FALSE(is_ip_port(text));
    }
}
