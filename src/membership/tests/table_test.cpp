#include "membership/table.h"
#include "membership/tests/records.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace snipeshore;
using namespace snipeshore::membership;
using namespace std::chrono_literals;

namespace {

using records = std::vector<inner::host_record>;

const table_limits limits;
const base::time_point start{1000s};

table table_of(const records& list)
{
    table members;
    merge_all(members, list, start, limits);
    return members;
}

bool same_records(const table& left, const table& right)
{
    return std::equal(left.members.begin(), left.members.end(), right.members.begin(),
                      right.members.end(), [](const auto& one, const auto& other) {
                          const auto& a = one.second.record;
                          const auto& b = other.second.record;
                          return !overrides(a, b) && !overrides(b, a) && a.host == b.host;
                      });
}

records contents(const table& members)
{
    records list;
    for (const auto& [host, item] : members.members) {
        list.push_back(item.record);
    }
    return list;
}

records any_records()
{
    records list;
    const auto size = *rc::gen::inRange<std::size_t>(0, 8);
    for (std::size_t index = 0; index < size; ++index) {
        list.push_back(any_record());
    }
    return list;
}

} // namespace

// Guards against views that stay different because updates arrived in another order, twice or late.
TEST_CASE("merges do not depend on order, grouping or repetition")
{
    CHECK(rc::check("commutative", []() {
        const auto a = any_records();
        const auto b = any_records();
        auto left = table_of(a);
        merge_all(left, b, start, limits);
        auto right = table_of(b);
        merge_all(right, a, start, limits);
        RC_ASSERT(same_records(left, right));
    }));
    CHECK(rc::check("associative", []() {
        const auto a = any_records();
        const auto b = any_records();
        const auto c = any_records();
        auto left = table_of(a);
        merge_all(left, b, start, limits);
        merge_all(left, c, start, limits);
        auto late = table_of(b);
        merge_all(late, c, start, limits);
        auto right = table_of(a);
        merge_all(right, contents(late), start, limits);
        RC_ASSERT(same_records(left, right));
    }));
    CHECK(rc::check("idempotent", []() {
        const auto list = any_records();
        auto members = table_of(list);
        const auto revision = members.revision;
        RC_ASSERT(!merge_all(members, list, start, limits));
        RC_ASSERT(members.revision == revision);
    }));
    CHECK(rc::check("the highest incarnation, then counter, is kept", []() {
        const auto list = any_records();
        const auto members = table_of(list);
        for (const auto& record : list) {
            const auto& kept = members.members.at(record.host).record;
            RC_ASSERT(kept.incarnation >= record.incarnation);
            RC_ASSERT(kept.incarnation > record.incarnation || kept.counter >= record.counter);
        }
    }));
}

// Guards against a difference between two tables that the exchange does not detect.
TEST_CASE("hashes differ exactly when records differ")
{
    CHECK(rc::check("domain_hashes", []() {
        auto left = table_of(any_records());
        auto right = table_of(any_records());
        bool same = true;
        const auto simple = [](const table& members) {
            std::vector<std::tuple<base::host_id, std::uint64_t, std::uint64_t, int>> list;
            for (const auto& [host, item] : members.members) {
                list.emplace_back(host, item.record.incarnation.value(), item.record.counter,
                                  static_cast<int>(item.record.status));
            }
            return list;
        };
        same = simple(left) == simple(right);
        RC_ASSERT(records_to_send(left, domain_hashes(right)).empty() ==
                  (same || left.members.empty()));
    }));
}

TEST_CASE("a `dead` mark from a detector and records of the host itself")
{
    table members = table_of({make_record("a", 5, 3)});
    auto self = make_record("a", 5, 3);

    SUBCASE("`dead` overrides a live record with the same counter")
    {
        merge(members, make_record("a", 5, 3, inner::host_status::dead), start, limits);
        CHECK_FALSE(merge(members, make_record("a", 5, 3), start, limits));
        SUBCASE("and is overridden by the host, which raises its counter")
        {
            const auto verdict = members.members.begin()->second.record;
            CHECK(check_self(self, verdict, false) == self_check::refuted);
            CHECK(self.incarnation == base::incarnation(5));
            CHECK(merge(members, self, start, limits));
            CHECK(members.members.begin()->second.record.status == inner::host_status::live);
        }
    }
    SUBCASE("a record of a lower incarnation is ignored, whatever its counter")
    {
        CHECK_FALSE(merge(members, make_record("a", 4, 900), start, limits));
        CHECK(check_self(self, make_record("a", 4, 900, inner::host_status::dead), false) ==
              self_check::agrees);
    }
    SUBCASE("a restarted host raises its incarnation above its previous one")
    {
        self = make_record("a", 2, 0);
        CHECK(check_self(self, members.members.begin()->second.record, true) ==
              self_check::refuted);
        CHECK(merge(members, self, start, limits));
    }
    SUBCASE("a process that was replaced under its host id detects it")
    {
        auto other = make_record("a", 6, 0);
        other.agent_address = "elsewhere:1";
        CHECK(check_self(self, other, false) == self_check::superseded);
    }
}

TEST_CASE("reachability of a failure domain")
{
    table members = table_of({make_record("a", 1, 1)});
    const base::failure_domain_id domain("fd1");
    const auto later = start + 60s;

    SUBCASE("a domain without a recent proof of life is not reachable")
    {
        CHECK(is_reachable(members, domain, start + 15s, limits));
        CHECK_FALSE(is_reachable(members, domain, start + 16s, limits));
        CHECK_FALSE(is_reachable(members, base::failure_domain_id("fd9"), start, limits));
    }
    SUBCASE("a raised counter is a proof of life")
    {
        merge(members, make_record("a", 1, 2), later, limits);
        CHECK(is_reachable(members, domain, later, limits));
    }
    SUBCASE("a `dead` mark from a detector and a repeated record are not")
    {
        merge(members, make_record("a", 1, 1, inner::host_status::dead), later, limits);
        merge(members, make_record("a", 1, 1), later, limits);
        CHECK_FALSE(is_reachable(members, domain, later, limits));
    }
}

// Guards against no agent, or several agents, of a domain polling the store.
TEST_CASE("one live host of a domain is elected for each interval")
{
    CHECK(rc::check("is_elected", []() {
        records list = any_records();
        list.push_back(make_record("e", 1, 1));
        const auto members = table_of(list);
        const auto interval = *rc::gen::arbitrary<std::uint64_t>();
        int elected = 0;
        for (const auto& [host, item] : members.members) {
            if (item.record.status == inner::host_status::live &&
                is_elected(members, item.record, interval)) {
                ++elected;
            }
        }
        RC_ASSERT(elected == 1);
    }));
}

TEST_CASE("bounds of the table")
{
    table members = table_of({make_record("a", 1, 1), make_record("b", 1, 1)});
    SUBCASE("records beyond the limit are ignored")
    {
        table_limits narrow;
        narrow.max_members = 2;
        CHECK_FALSE(merge(members, make_record("c", 1, 1), start, narrow));
        CHECK(merge(members, make_record("a", 1, 2), start, narrow));
    }
    SUBCASE("only hosts that have been dead for longer than the retention are removed")
    {
        merge(members, make_record("a", 1, 1, inner::host_status::dead), start, limits);
        CHECK_FALSE(remove_long_dead(members, start + limits.dead_retention, limits));
        CHECK(remove_long_dead(members, start + limits.dead_retention + 1s, limits));
        CHECK(members.members.size() == 1);
    }
}
