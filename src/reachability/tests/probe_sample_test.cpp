#include "reachability/probe_sample.h"

#include <doctest/doctest.h>

#include <chrono>
#include <set>
#include <string>
#include <vector>

using namespace snipeshore;

namespace {

std::vector<reachability::probe_candidate> make_targets(int domains, int services, int each)
{
    std::vector<reachability::probe_candidate> targets;
    for (int domain = 0; domain < domains; ++domain) {
        for (int service = 0; service < services; ++service) {
            for (int i = 0; i < each; ++i) {
                targets.push_back({base::target_id("t" + std::to_string(targets.size())),
                                   base::service_id("s" + std::to_string(service)),
                                   base::failure_domain_id("z" + std::to_string(domain))});
            }
        }
    }
    return targets;
}

} // namespace

TEST_CASE("a round of probes asks targets that fail independently of each other")
{
    constexpr std::size_t count = reachability::probes_per_round;
    SUBCASE("of different failure domains and services")
    {
        const auto targets = make_targets(6, 4, 5);
        for (std::uint64_t random = 0; random < 50; ++random) {
            std::set<std::string> domains;
            std::set<std::string> services;
            for (const std::size_t index : reachability::choose_probes(targets, count, random)) {
                domains.insert(targets[index].failure_domain.value());
                services.insert(targets[index].service.value());
            }
            CHECK(domains.size() == count);
            CHECK(services.size() == count);
        }
    }
    SUBCASE("half of them those that responded last")
    {
        auto targets = make_targets(6, 4, 5);
        targets[7].last_response = base::time_point{} + std::chrono::seconds(5);
        targets[8].last_response = base::time_point{} + std::chrono::seconds(6);
        targets[70].last_response = base::time_point{} + std::chrono::seconds(1);
        for (std::uint64_t random = 0; random < 50; ++random) {
            const auto chosen = reachability::choose_probes(targets, count, random);
            CHECK(std::set<std::size_t>{chosen[0], chosen[1]} == std::set<std::size_t>{8, 70});
        }
    }
    SUBCASE("all of them, if there are few")
    {
        CHECK(reachability::choose_probes(make_targets(1, 1, 2), count, 7).size() == 2);
        CHECK(reachability::choose_probes({}, count, 7).empty());
    }
    SUBCASE("others in later rounds")
    {
        const auto targets = make_targets(2, 2, 20);
        std::set<std::size_t> asked;
        for (std::uint64_t random = 0; random < 50; ++random) {
            const auto chosen = reachability::choose_probes(targets, count, random);
            asked.insert(chosen.begin(), chosen.end());
        }
        CHECK(asked.size() > targets.size() / 2);
    }
}
