#include "config/diff.h"
#include "config/parse.h"
#include "config/tests/deployments.h"

#include <doctest/doctest.h>

using namespace snipeshore;
using namespace snipeshore::config;

// Guards against differences that name list items by position: operators know their identifiers.
TEST_CASE("differences between documents")
{
    const document before = std::get<0>(parse(source_file("config/jasmin.json")));
    document after = before;

    SUBCASE("do not exist between equal documents")
    {
        CHECK(diff(before, after).empty());
    }
    SUBCASE("name items by identifier, also after an insertion before them")
    {
        after.accounts.erase(after.accounts.begin());
        after.accounts.at(0).rate = base::request_rate(701);
        after.hosts.insert(after.hosts.begin(), after.hosts.front());
        after.hosts.front().id = base::host_id("tunis-a-3");
        const std::vector<change> changes = diff(before, after);
        CAPTURE(to_text(changes));
        REQUIRE(changes.size() == 3);
        CHECK(changes[0].path == "/accounts/expo-carthage/rate");
        CHECK(changes[0].before == "700.0");
        CHECK(changes[0].after == "701.0");
        CHECK(changes[1].path == "/accounts/festival-nord");
        CHECK_FALSE(changes[1].after);
        CHECK(changes[2].path == "/hosts/tunis-a-3");
        CHECK_FALSE(changes[2].before);
    }
    SUBCASE("include a changed order of items")
    {
        std::swap(after.sites.at(0), after.sites.at(1));
        const std::vector<change> changes = diff(before, after);
        REQUIRE(changes.size() == 1);
        CHECK(changes[0].path == "/sites");
    }
    SUBCASE("are also found between the texts of keys documents")
    {
        const std::vector<change> changes =
            diff_texts(R"({"keys":[{"hash":"a","account":"x"}]})", R"({"keys":[]})");
        REQUIRE(changes.size() == 1);
        CHECK(changes[0].path == "/keys/a");
        CHECK(diff_texts("no json", "{}").size() == 1);
    }
}
