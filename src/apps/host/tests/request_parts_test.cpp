#include "apps/host/peer_calls.h"
#include "apps/host/request_parts.h"

#include <doctest/doctest.h>

using namespace snipeshore;
using namespace std::chrono_literals;

TEST_CASE("reading the headers of a request")
{
    apps::wire_names names;
    SUBCASE("the object's cookie is found among others, so that affinity works")
    {
        const http::header_list headers{{"cookie", "a=1; snipeshore-object=17;b=2"}};
        CHECK(apps::find_cookie(headers, "snipeshore-object") == "17");
        CHECK(apps::find_cookie(headers, "object").empty());
        CHECK(apps::find_cookie({{"cookie", ";;="}}, "x").empty());
        routing::route route;
        route.name = "status";
        route.has_affinity = true;
        CHECK(apps::object_hash(headers, names, route, 5) ==
              apps::object_hash({{"cookie", "snipeshore-object=17"}}, names, route, 6));
        CHECK(apps::object_hash({}, names, route, 5) == 5);
    }
    // Guards against uneven load: what a target knows of an object helps on one route only, and
    // placing all routes of an object on the same targets makes the busiest targets busier.
    SUBCASE("an object's hash differs between routes, and is not used without affinity")
    {
        const http::header_list headers{{"cookie", "snipeshore-object=17"}};
        routing::route status;
        status.name = "status";
        status.has_affinity = true;
        routing::route order = status;
        order.name = "order";
        CHECK(apps::object_hash(headers, names, status, 5) !=
              apps::object_hash(headers, names, order, 5));
        order.has_affinity = false;
        CHECK(apps::object_hash(headers, names, order, 5) == 5);
    }
    SUBCASE("an invalid time limit is ignored")
    {
        CHECK(apps::read_time_left({{"t", "1200"}}, "t") == 1200ms);
        CHECK_FALSE(apps::read_time_left({{"t", "soon"}}, "t").has_value());
        CHECK_FALSE(apps::read_time_left({{"t", "-5"}}, "t").has_value());
        CHECK_FALSE(apps::read_time_left({}, "t").has_value());
    }
    SUBCASE("neither the key nor forged system headers are forwarded to a target")
    {
        const auto headers = apps::make_forwarded_headers({{names.key, "secret"},
                                                           {names.account, "forged"},
                                                           {names.target, "forged"},
                                                           {names.time_left, "9"},
                                                           {"te", "trailers"},
                                                           {"x-own", "kept"},
                                                           {names.request_id, "id"}},
                                                          names);
        REQUIRE(headers.size() == 2);
        CHECK(headers[0].name == "x-own");
        CHECK(headers[1].name == names.request_id);
    }
}

TEST_CASE("paths of calls between hosts")
{
    const std::string path = apps::rows_path("op", 12, 4s);
    REQUIRE(path.starts_with(apps::rows_prefix));
    const auto query = apps::parse_rows_query(path.substr(apps::rows_prefix.size()));
    CHECK(query.table == "op");
    CHECK(query.after == 12);
    CHECK(query.wait == 4s);
    SUBCASE("a malformed query is rejected, a long wait is reduced to the limit")
    {
        CHECK(apps::parse_rows_query("").table.empty());
        CHECK(apps::parse_rows_query("op").table.empty());
        CHECK(apps::parse_rows_query("op,x,1").table.empty());
        CHECK(apps::parse_rows_query("op,1,999999999").wait == 10s);
    }
}
