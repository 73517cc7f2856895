#include "apps/host/target_registry.h"

#include <doctest/doctest.h>

#include <string>

using namespace snipeshore;
using namespace std::chrono_literals;

namespace {

/// The rows of this test have the format "started sequence address cold leaving".
base::result<apps::target_entry> parse(const std::string& key, std::string_view text)
{
    apps::target_entry entry;
    entry.id = base::target_id(key);
    int cold_ms = 0;
    int leaving = 0;
    char address[32]{};
    const std::string copy(text);
    if (std::sscanf(copy.c_str(), "%ld %lu %31s %d %d", &entry.started_ms, &entry.sequence, address,
                    &cold_ms, &leaving) != 5) {
        return base::error{base::error_kind::document_invalid, "malformed row"};
    }
    entry.address = address;
    entry.cold_for = std::chrono::milliseconds(cold_ms);
    entry.is_leaving = leaving != 0;
    return entry;
}

apps::row_formats make_formats()
{
    apps::row_formats formats;
    formats.parse_target = parse;
    return formats;
}

const base::time_point start = base::time_point{} + 1h;

} // namespace

TEST_CASE("the registry uses the newest entry of each target")
{
    const apps::row_formats formats = make_formats();
    apps::target_registry registry;
    const apps::registry_view store_reachable{start, start - 1min, 2s};
    const base::target_id id("t");
    REQUIRE(apps::apply_rows(registry, formats, {{"t", "5 1 a:1 0 0", 1, false}}, store_reachable));
    SUBCASE("a report that differs only in its sequence number is not a change")
    {
        CHECK_FALSE(
            apps::apply_rows(registry, formats, {{"t", "5 2 a:1 0 0", 2, false}}, store_reachable));
        CHECK(apps::is_liveness_report(formats, {"t", "5 1 a:1 0 0"}, {"t", "5 2 a:1 0 0"}));
        CHECK_FALSE(apps::is_liveness_report(formats, {"t", "5 1 a:1 0 0"}, {"t", "5 2 a:1 0 1"}));
        CHECK_FALSE(apps::is_liveness_report(formats, {"t", "5 1 a:1 0 0"}, {"t", "5 2 a:1 9 0"}));
    }
    SUBCASE("a late report of an earlier incarnation is ignored")
    {
        CHECK_FALSE(
            apps::apply_rows(registry, formats, {{"t", "4 9 b:1 0 0", 2, false}}, store_reachable));
        CHECK(registry.targets.at(id).address == "a:1");
    }
    SUBCASE("an unreadable row is ignored and does not affect other targets")
    {
        CHECK_FALSE(
            apps::apply_rows(registry, formats, {{"u", "garbage", 2, false}}, store_reachable));
        CHECK(registry.targets.size() == 1);
    }
    // Guards against a target that stays in use by an entry which is no longer there.
    SUBCASE("an unreadable row of a known target removes it at once")
    {
        const apps::registry_view store_recovered{start, start - 100ms, 2s};
        SUBCASE("while the store is reachable")
        {
            CHECK(
                apps::apply_rows(registry, formats, {{"t", "garbage", 2, false}}, store_reachable));
        }
        SUBCASE("shortly after an outage of the store, since the row has not expired")
        {
            CHECK(
                apps::apply_rows(registry, formats, {{"t", "garbage", 2, false}}, store_recovered));
        }
        SUBCASE("after a removal that is still pending")
        {
            CHECK_FALSE(apps::apply_rows(registry, formats, {{"t", "", 2, true}}, store_recovered));
            CHECK(
                apps::apply_rows(registry, formats, {{"t", "garbage", 3, false}}, store_recovered));
            CHECK(registry.pending_removals.empty());
        }
        CHECK(registry.targets.empty());
        // The next readable row of the same incarnation is used again.
        CHECK(
            apps::apply_rows(registry, formats, {{"t", "5 2 a:1 0 0", 4, false}}, store_reachable));
        CHECK(registry.targets.contains(id));
    }
    SUBCASE("a removed row removes the target at once while the store is reachable")
    {
        CHECK(apps::apply_rows(registry, formats, {{"t", "", 2, true}}, store_reachable));
        CHECK(registry.targets.empty());
    }
    SUBCASE("a row that expired during a store outage may reappear")
    {
        const apps::registry_view store_recovered{start, start - 100ms, 2s};
        CHECK_FALSE(apps::apply_rows(registry, formats, {{"t", "", 2, true}}, store_recovered));
        CHECK(registry.targets.contains(id));
        SUBCASE("it reappears")
        {
            apps::apply_rows(registry, formats, {{"t", "5 3 a:1 0 0", 3, false}}, store_recovered);
            CHECK_FALSE(apps::remove_expired(registry, start + 10s));
            CHECK(registry.targets.contains(id));
        }
        SUBCASE("it does not reappear")
        {
            CHECK_FALSE(apps::remove_expired(registry, start + 1s));
            CHECK(apps::remove_expired(registry, start + 2s));
            CHECK(registry.targets.empty());
        }
    }
}
