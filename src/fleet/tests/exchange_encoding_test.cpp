#include "fleet/exchange_encoding.h"

#include <doctest/doctest.h>

using namespace snipeshore;

TEST_CASE("messages between hosts are unchanged after encoding and parsing")
{
    fleet::exchange_message message;
    message.from = {base::host_id("h1"), base::failure_domain_id("d1"), "1.2.3.4:80",
                    "1.2.3.4:90",        base::incarnation(7),          fleet::member_state::ready};
    message.from.reaches_targets = false;
    message.versions = {{"op", 12}};
    message.eras = {{"op", 3}};
    message.wanted[base::account_id("coop")] = 2.5;
    message.crashes.push_back({3, base::target_id("t1"), {~0ULL, 7}});
    message.granted[base::account_id("coop")] = 1.999;
    message.loads[base::service_id("desk")] = 0.75;
    message.notices.push_back(
        {fleet::notice_kind::target_limit, "t1/7", 6.1, std::chrono::milliseconds(250)});
    const auto read = fleet::parse_exchange(fleet::encode(message));
    REQUIRE(base::is_ok(read));
    const fleet::exchange_message& copy = base::value_of(read);
    CHECK(copy.from.control_address == "1.2.3.4:90");
    CHECK(copy.from.state == fleet::member_state::ready);
    CHECK_FALSE(copy.from.reaches_targets);
    CHECK(copy.from.takes_relayed);
    CHECK(copy.versions.at("op") == 12);
    CHECK(copy.eras.at("op") == 3);
    CHECK(copy.wanted.at(base::account_id("coop")) == doctest::Approx(2.5));
    CHECK(copy.loads.at(base::service_id("desk")) == doctest::Approx(0.75));
    REQUIRE(copy.crashes.size() == 1);
    CHECK(copy.crashes[0].target.value() == "t1");
    CHECK(copy.crashes[0].fingerprints == std::vector<std::uint64_t>{~0ULL, 7});
    REQUIRE(copy.notices.size() == 1);
    CHECK(copy.notices[0].kind == fleet::notice_kind::target_limit);
    CHECK(copy.notices[0].subject == "t1/7");
    CHECK(copy.notices[0].value == doctest::Approx(6.1));
    CHECK(copy.notices[0].age == std::chrono::milliseconds(250));
    SUBCASE("granted tokens are rounded down, so that the encoding adds no tokens")
    {
        CHECK(copy.granted.at(base::account_id("coop")) <= 1.999);
    }
    SUBCASE("malformed input is an error, not a crash")
    {
        CHECK_FALSE(base::is_ok(fleet::parse_exchange("{\"m\":[1]}")));
        CHECK_FALSE(base::is_ok(fleet::parse_exchange("")));
        CHECK_FALSE(base::is_ok(fleet::parse_update("{\"v\":1,\"rows\":[[1]]}")));
        CHECK_FALSE(base::is_ok(fleet::parse_member("[]")));
    }
    SUBCASE("a host of an earlier version reaches targets, and takes no relayed requests")
    {
        const auto earlier = fleet::parse_member(R"(["h1","d1","a","b",7,1,true])");
        REQUIRE(base::is_ok(earlier));
        CHECK(base::value_of(earlier).reaches_targets);
        CHECK_FALSE(base::value_of(earlier).takes_relayed);
    }
    SUBCASE("rows keep their version and removal")
    {
        const rows::replica_update update{10, true, {{"k", "v", 9, false}, {"gone", "", 10, true}}};
        const auto read_back = fleet::parse_update(fleet::encode(update));
        REQUIRE(base::is_ok(read_back));
        CHECK(base::value_of(read_back).is_full);
        CHECK(base::value_of(read_back).rows[0].value == "v");
        CHECK(base::value_of(read_back).rows[1].removed);
        CHECK(base::value_of(read_back).era == 0);
    }
    SUBCASE("rows keep the era of the store")
    {
        const rows::replica_update update{10, true, {}, 4};
        const auto read_back = fleet::parse_update(fleet::encode(update));
        REQUIRE(base::is_ok(read_back));
        CHECK(base::value_of(read_back).era == 4);
    }
}

// Guards against a message that was cut off on its way and is read as a shorter one.
TEST_CASE("a message that is cut off at any byte is an error")
{
    const std::string update = fleet::encode(
        rows::replica_update{10, true, {{"a", "1", 9, false}, {"b", "2", 10, false}}});
    for (std::size_t size = 0; size < update.size(); ++size) {
        CHECK_FALSE(base::is_ok(fleet::parse_update(update.substr(0, size))));
    }
    fleet::exchange_message sent;
    sent.from = {base::host_id("h1"), base::failure_domain_id("d1"), "1.2.3.4:80",
                 "1.2.3.4:90",        base::incarnation(7),          fleet::member_state::ready};
    sent.versions = {{"op", 12}};
    const std::string message = fleet::encode(sent);
    for (std::size_t size = 0; size < message.size(); ++size) {
        CHECK_FALSE(base::is_ok(fleet::parse_exchange(message.substr(0, size))));
    }
}

// Guards against a stack overflow when a part of a message is copied.
TEST_CASE("a deeply nested message is an error")
{
    constexpr std::size_t depth = 120'000;
    const std::string deep = std::string(depth, '[') + std::string(depth, ']');
    const std::string sender = R"({"m":["h","d","1.2.3.4:80","1.2.3.4:90",7,1],"v":{},"w":)";
    CHECK_FALSE(base::is_ok(fleet::parse_exchange(sender + deep + "}")));
    CHECK_FALSE(base::is_ok(fleet::parse_update(deep)));
    CHECK_FALSE(base::is_ok(fleet::parse_member(deep)));
}

// Guards against hosts that disagree: replacing the bytes would make a row readable for the hosts
// that get it from the reader, although the reader itself cannot read it.
TEST_CASE("a value that is not UTF-8 stays unreadable for other hosts")
{
    const std::string value = "{\"service\":\"s\xff\"}";
    const rows::replica_update update{
        10, false, {{"odd", value, 9, false}, {"good", "\xc3\xa9", 10, false}}};
    const auto read = fleet::parse_update(fleet::encode(update));
    REQUIRE(base::is_ok(read));
    const std::vector<rows::row>& rows = base::value_of(read).rows;
    REQUIRE(rows.size() == 2);
    CHECK(rows[0].value.empty());
    CHECK(rows[0].version == 9);
    CHECK(rows[1].value == "\xc3\xa9");
}

// Guards against numbers that are truncated to another, valid number.
TEST_CASE("a message with a number out of range is an error")
{
    const auto member = [](const std::string& incarnation, const std::string& state) {
        return R"(["h","d","1.2.3.4:80","1.2.3.4:90",)" + incarnation + "," + state + "]";
    };
    REQUIRE(base::is_ok(fleet::parse_member(member("7", "1"))));
    const std::string from = R"({"m":)" + member("7", "1");
    for (const std::string value : {"-1", "0.5", "1e300", "18446744073709551616", "true"}) {
        INFO(value);
        CHECK_FALSE(base::is_ok(fleet::parse_member(member(value, "1"))));
        CHECK_FALSE(base::is_ok(fleet::parse_member(member("7", value))));
        CHECK_FALSE(base::is_ok(fleet::parse_exchange(from + R"(,"v":{"op":)" + value + "}}")));
        CHECK_FALSE(base::is_ok(
            fleet::parse_exchange(from + R"(,"v":{},"c":[[)" + value + R"(,"t",[1]]]})")));
        CHECK_FALSE(
            base::is_ok(fleet::parse_exchange(from + R"(,"v":{},"c":[[1,"t",[)" + value + "]]]}")));
        CHECK_FALSE(
            base::is_ok(fleet::parse_update(R"({"v":)" + value + R"(,"full":false,"rows":[]})")));
        CHECK_FALSE(base::is_ok(fleet::parse_update(R"({"v":1,"full":false,"rows":[["k",)" + value +
                                                    R"(,false,"v"]]})")));
    }
    CHECK_FALSE(base::is_ok(fleet::parse_exchange(from + R"(,"v":7})")));
    for (const std::string notice : {"7", R"([-1,"t",1,0])", R"([0,7,1,0])", R"([0,"t","x",0])",
                                     R"([0,"t",1e999,0])", R"([0,"t",1,-5])", R"([0,"t",1])"}) {
        INFO(notice);
        CHECK_FALSE(base::is_ok(fleet::parse_exchange(from + R"(,"v":{},"n":[)" + notice + "]}")));
    }
    const auto skipped = fleet::parse_exchange(
        from + R"(,"v":{},"n":[[9,"later version",1,0],[2,"",1,0],[2,"t",1,0],[2,")" +
        std::string(1000, 't') + R"(",1,0]]})");
    REQUIRE(base::is_ok(skipped));
    CHECK(base::value_of(skipped).notices.size() == 1);
    CHECK_FALSE(base::is_ok(fleet::parse_exchange(from + R"(,"v":{},"c":[[1,"t",7]]})")));
    CHECK_FALSE(base::is_ok(fleet::parse_member(R"(["","d","1.2.3.4:80","1.2.3.4:90",7,1])")));
}
