#include "affinity/copies.h"

#include <doctest/doctest.h>

using namespace snipeshore;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t route = 1;
constexpr std::uint64_t object = 7;
const base::time_point start = base::time_point{} + 1h;

} // namespace

// Guards against many slow first runs: every failure domain made its own copy of each object, also
// of objects with few requests and small messages.
TEST_CASE("failure domains of a region share copies of objects with small messages")
{
    affinity::copy_ledger ledger;
    const auto transfer = [&](double bytes, base::time_point now = start) {
        affinity::record_transfer(ledger, route, object, bytes, true, now);
    };
    const auto shared = [&](base::time_point now = start) {
        return affinity::is_shared(ledger, route, object, now);
    };
    SUBCASE("nothing is shared before the size of the route's messages is known")
    {
        CHECK_FALSE(shared());
    }
    SUBCASE("an object is shared until its crossing bytes are worth a copy")
    {
        transfer(1000);
        CHECK(shared());
        for (double sent = 1000; sent < affinity::copy_cost_bytes; sent += 1000) {
            CHECK(shared());
            transfer(1000);
        }
        CHECK_FALSE(shared());
        CHECK(affinity::is_shared(ledger, route, object + 1, start));
    }
    SUBCASE("objects with large messages are not shared")
    {
        transfer(affinity::copy_cost_bytes);
        CHECK_FALSE(affinity::is_shared(ledger, route, object + 1, start));
    }
    SUBCASE("an object that was not in use for a while is shared again")
    {
        for (int i = 0; i < 10; ++i) {
            transfer(1000);
        }
        CHECK_FALSE(shared());
        affinity::record_transfer(ledger, route, object, 1000, false, start + 20s);
        CHECK_FALSE(shared(start + 40s));
        CHECK(shared(start + 20s + affinity::copy_lifetime));
    }
    SUBCASE("the state is bounded, whatever callers send")
    {
        for (std::uint64_t i = 0; i < 50'000; ++i) {
            affinity::record_transfer(ledger, i, i, 1000, true, start);
        }
        CHECK(ledger.objects.size() <= affinity::max_copy_entries);
        CHECK(ledger.message_bytes.size() <= affinity::max_copy_entries);
    }
}
