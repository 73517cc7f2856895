#include "rows/table_replica.h"

#include <doctest/doctest.h>

using namespace snipeshore;

TEST_CASE("a table replica never returns to an older state")
{
    rows::table_replica replica;
    rows::replace(replica, {{"a", "1", 3, false}, {"b", "1", 4, false}}, 5);
    SUBCASE("an older row from a peer changes nothing")
    {
        CHECK(rows::merge(replica, {{"a", "0", 2, false}}).empty());
        CHECK(replica.rows["a"].value == "1");
    }
    SUBCASE("an older row does not restore a removed row")
    {
        CHECK(rows::merge(replica, {{"a", "", 6, true}}).size() == 1);
        CHECK(rows::merge(replica, {{"a", "1", 3, false}}).empty());
        CHECK(replica.rows["a"].removed);
    }
    SUBCASE("a full read removes missing rows, but not newer rows from a peer")
    {
        rows::merge(replica, {{"c", "1", 9, false}});
        const auto changes = rows::replace(replica, {{"a", "1", 3, false}}, 8);
        REQUIRE(changes.size() == 1);
        CHECK(changes.front().key == "b");
        CHECK(changes.front().removed);
        CHECK_FALSE(replica.rows["c"].removed);
    }
    SUBCASE("an update contains the changes in order, including removed rows")
    {
        rows::merge(replica, {{"b", "", 7, true}, {"a", "2", 6, false}});
        const auto update = rows::update_after(replica, 5);
        CHECK_FALSE(update.is_full);
        REQUIRE(update.rows.size() == 2);
        CHECK(update.rows[0].key == "a");
        CHECK(update.rows[1].removed);
    }
    SUBCASE("a replica older than the known history gets the whole table and keeps no removed row")
    {
        rows::table_replica old;
        rows::replace(old, {{"gone", "1", 1, false}}, 2);
        const auto changes = rows::apply(old, rows::update_after(replica, old.version));
        CHECK(changes.size() == 3);
        CHECK(old.rows["gone"].removed);
        CHECK(old.version == 5);
    }
    SUBCASE(
        "repeats are not sent to peers, so that reports load only the host that reads the store")
    {
        replica.is_repeat = [](const rows::row& before, const rows::row& after) {
            return before.value == after.value;
        };
        CHECK(rows::merge(replica, {{"a", "1", 6, false}, {"b", "2", 7, false}}).size() == 2);
        const auto update = rows::update_after(replica, 5);
        REQUIRE(update.rows.size() == 1);
        CHECK(update.rows[0].key == "b");
    }
}
