#include "membership/peers.h"
#include "membership/table.h"
#include "membership/tests/records.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace snipeshore;
using namespace snipeshore::membership;
using namespace std::chrono_literals;

namespace {

const table_limits limits;
const base::time_point start{1000s};

std::set<std::string> chosen_over_rounds(const table& members, const inner::host_record& self,
                                         const std::vector<seed>& seeds, int rounds)
{
    std::mt19937_64 random(20261204);
    std::set<std::string> all;
    for (int round = 0; round < rounds; ++round) {
        const auto chosen = choose_peers(members, self, seeds, {}, random);
        CHECK(std::set(chosen.begin(), chosen.end()).size() == chosen.size());
        CHECK(std::find(chosen.begin(), chosen.end(), self.agent_address) == chosen.end());
        all.insert(chosen.begin(), chosen.end());
    }
    return all;
}

} // namespace

// Guards against parts of the fleet that never exchange records.
TEST_CASE("exchange peers")
{
    const auto self = make_record("self", 1, 1);
    table members;
    merge(members, self, start, limits);
    const std::vector<seed> seeds{
        {base::host_id("s1"), base::failure_domain_id("fd1"), "s1:1"},
        {base::host_id("s2"), base::failure_domain_id("fd2"), "s2:1"},
        {base::host_id("self"), base::failure_domain_id("fd1"), "self:1"}};

    SUBCASE("a host without known peers uses the listed hosts")
    {
        std::mt19937_64 random(1);
        const auto chosen = choose_peers(members, self, seeds, {}, random);
        CHECK(std::set(chosen.begin(), chosen.end()) == std::set<std::string>{"s1:1", "s2:1"});
    }
    SUBCASE("without any other host no peer is chosen")
    {
        CHECK(chosen_over_rounds(members, self, {}, 50).empty());
    }
    SUBCASE("two random peers of the own domain and one of another; over time all are chosen")
    {
        for (const auto* name : {"a", "b", "c", "d"}) {
            merge(members, make_record(name, 1, 1), start, limits);
        }
        for (const auto* name : {"x", "y"}) {
            merge(members, make_record(name, 1, 1, inner::host_status::live, "fd2"), start, limits);
        }
        std::mt19937_64 random(1);
        peer_settings without_retries;
        without_retries.retry_one_in = 1U << 31U;
        CHECK(choose_peers(members, self, seeds, without_retries, random).size() == 3);
        const auto all = chosen_over_rounds(members, self, {}, 200);
        CHECK(all == std::set<std::string>{"a:1", "b:1", "c:1", "d:1", "x:1", "y:1"});
    }
    SUBCASE("hosts that are marked dead are retried occasionally")
    {
        merge(members, make_record("a", 1, 1, inner::host_status::dead), start, limits);
        CHECK(chosen_over_rounds(members, self, {}, 200).contains("a:1"));
    }
}
