#include "steering/block_table.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

using namespace snipeshore;
using namespace snipeshore::steering;

namespace {

config::document
document_with_blocks(const std::vector<std::pair<std::string, std::string>>& blocks)
{
    config::document document;
    for (const char* site : {"a", "b", "c"}) {
        document.sites.push_back({base::site_id(site), base::failure_domain_id("d")});
    }
    for (const auto& [cidr, site] : blocks) {
        document.client_blocks.push_back({cidr, base::site_id(site)});
    }
    return document;
}

std::optional<std::uint32_t> matched_block(const block_table& table, const char* address)
{
    const auto match = match_block(table, parse_client_address(address).value());
    return match ? std::optional(match->block) : std::nullopt;
}

bool is_document_error(const config::document& document)
{
    const auto built = build_block_table(document);
    return !base::is_ok(built) && base::error_of(built).kind == base::error_kind::document_invalid;
}

} // namespace

// Guards against steering a caller by a block other than the longest one that contains its address.
TEST_CASE("a caller belongs to the longest block that contains its address")
{
    const auto built = build_block_table(document_with_blocks({{"10.0.0.0/8", "a"},
                                                               {"10.1.0.0/16", "b"},
                                                               {"10.1.255.255/32", "c"},
                                                               {"255.255.255.255/32", "a"},
                                                               {"2001:db8::/32", "a"},
                                                               {"2001:db8:1::/48", "b"}}));
    const block_table& table = base::value_of(built);
    CHECK(matched_block(table, "10.0.255.255") == 0);
    CHECK(matched_block(table, "10.1.0.0") == 1);
    CHECK(matched_block(table, "10.1.255.255") == 2);
    CHECK(matched_block(table, "10.2.0.0") == 0);
    CHECK(matched_block(table, "255.255.255.255") == 3);
    CHECK_FALSE(matched_block(table, "11.0.0.0"));
    CHECK(matched_block(table, "2001:db8:1::5") == 5);
    CHECK(matched_block(table, "2001:db8:2::5") == 4);
    CHECK_FALSE(matched_block(table, "::1"));
    SUBCASE("an IPv4 address mapped into IPv6 is the IPv4 address")
    {
        CHECK(matched_block(table, "::ffff:10.1.0.9") == 1);
    }
}

// Guards against a changed order of blocks in the document: if the salt depended on the position,
// the callers of reordered blocks would be assigned to other failure domains.
TEST_CASE("the salt of a block does not depend on its position")
{
    const auto one =
        build_block_table(document_with_blocks({{"10.0.0.0/8", "a"}, {"11.0.0.0/8", "a"}}));
    const auto two =
        build_block_table(document_with_blocks({{"11.0.0.0/8", "a"}, {"10.0.0.0/8", "a"}}));
    const auto address = parse_client_address("10.9.9.9").value();
    CHECK(match_block(base::value_of(one), address)->salt ==
          match_block(base::value_of(two), address)->salt);
}

// Guards against malformed blocks that are dropped or misread instead of being reported.
TEST_CASE("malformed and conflicting blocks are document errors")
{
    CHECK(is_document_error(document_with_blocks({{"10.0.0.0", "a"}})));
    CHECK(is_document_error(document_with_blocks({{"10.0.0.0/33", "a"}})));
    CHECK(is_document_error(document_with_blocks({{"10.0.0.1/8", "a"}})));
    CHECK(is_document_error(document_with_blocks({{"10.0.0.0/8x", "a"}})));
    CHECK(is_document_error(document_with_blocks({{"10.0.0.0/8", "unknown"}})));
    CHECK(is_document_error(document_with_blocks({{"10.0.0.0/8", "a"}, {"10.0.0.0/8", "b"}})));
    CHECK_FALSE(
        is_document_error(document_with_blocks({{"10.0.0.0/8", "a"}, {"10.0.0.0/8", "a"}})));
    CHECK_FALSE(is_document_error(document_with_blocks({{"0.0.0.0/0", "a"}, {"::/0", "b"}})));
}

// Guards against flattening errors that occur only with certain nestings of blocks.
TEST_CASE("property: the table agrees with a linear search over all blocks")
{
    CHECK(rc::check([] {
        struct block {
            std::uint32_t first = 0;
            std::uint32_t length = 0;
        };
        // With few distinct bits, nested blocks, adjacent blocks and equal starts are likely.
        const auto blocks = *rc::gen::container<std::vector<block>>(rc::gen::map(
            rc::gen::pair(rc::gen::inRange(0U, 64U), rc::gen::inRange(0U, 33U)), [](auto pair) {
                const std::uint32_t bits = (pair.first << 26U) | (pair.first >> 3U);
                const std::uint32_t mask = pair.second == 0 ? 0 : ~0U << (32U - pair.second);
                return block{bits & mask, pair.second};
            }));
        std::vector<std::pair<std::string, std::string>> cidrs;
        const auto dotted = [](std::uint32_t address) {
            return std::to_string(address >> 24U) + "." + std::to_string(address >> 16U & 255U) +
                   "." + std::to_string(address >> 8U & 255U) + "." +
                   std::to_string(address & 255U);
        };
        for (const block& entry : blocks) {
            cidrs.emplace_back(dotted(entry.first) + "/" + std::to_string(entry.length), "a");
        }
        const auto built = build_block_table(document_with_blocks(cidrs));
        RC_ASSERT(base::is_ok(built));
        const auto probe = *rc::gen::inRange(0U, 64U);
        const auto offset = *rc::gen::inRange(0U, 3U);
        const std::uint32_t address = ((probe << 26U) | (probe >> 3U)) + offset - 1;
        int longest = -1;
        for (const block& entry : blocks) {
            const std::uint32_t mask = entry.length == 0 ? 0 : ~0U << (32U - entry.length);
            if ((address & mask) == entry.first) {
                longest = std::max(longest, static_cast<int>(entry.length));
            }
        }
        const auto found = matched_block(base::value_of(built), dotted(address).c_str());
        RC_ASSERT(found.has_value() == (longest >= 0));
        RC_ASSERT((!found || static_cast<int>(blocks[*found].length) == longest));
    }));
}
