#include "balancing/balancer.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>

using namespace snipeshore;
using namespace snipeshore::balancing;

namespace {

target_set make_set(std::size_t targets, std::size_t hosts)
{
    target_set result;
    for (std::size_t index = 0; index < targets; ++index) {
        result.targets.push_back({base::target_id("target-" + std::to_string(index)), 3, 400});
    }
    for (std::size_t index = 0; index < hosts; ++index) {
        result.entry_hosts.emplace_back("host-" + std::to_string(index));
    }
    result.self = base::host_id("host-0");
    return result;
}

} // namespace

// Guards against targets that no host uses, and against a number of connections per target that
// grows with the number of hosts.
TEST_CASE("property: all targets are used by nearly the same number of hosts")
{
    CHECK(rc::check([] {
        const auto targets = *rc::gen::inRange<std::size_t>(1, 40);
        const auto hosts = *rc::gen::inRange<std::size_t>(1, 60);
        const settings config;
        const target_set set = make_set(targets, hosts);
        std::vector<std::size_t> host_counts(targets, 0);
        const auto subsets = make_subsets(set, config);
        for (const auto& subset : subsets) {
            RC_ASSERT(subset.size() >= std::min<std::size_t>(targets, config.min_subset));
            RC_ASSERT(subset.size() == subsets[0].size());
            for (const std::uint32_t target : subset) {
                ++host_counts[target];
            }
        }
        const auto [least, most] = std::minmax_element(host_counts.begin(), host_counts.end());
        RC_ASSERT(*most - *least <= 1U);
        // Each host uses at least `min_subset` targets; apart from that, the number of hosts per
        // target is bounded by the settings.
        const std::size_t subset_bound = (hosts * config.min_subset + targets - 1) / targets;
        RC_ASSERT(*most <= std::max<std::size_t>(config.hosts_per_target + hosts / targets + 1,
                                                 subset_bound));
    }));
}

// Guards against hosts that compute different subsets because their lists are ordered differently.
TEST_CASE("the subset of a host does not depend on the order of the lists")
{
    const target_set set = make_set(12, 8);
    target_set reversed = set;
    std::reverse(reversed.targets.begin(), reversed.targets.end());
    std::reverse(reversed.entry_hosts.begin(), reversed.entry_hosts.end());
    const auto names = [](const target_set& from, const std::vector<std::uint32_t>& subset) {
        std::vector<std::string> result;
        for (const std::uint32_t target : subset) {
            result.push_back(from.targets[target].id.value());
        }
        std::sort(result.begin(), result.end());
        return result;
    };
    const auto first = make_subsets(set, {});
    const auto second = make_subsets(reversed, {});
    for (std::size_t host = 0; host < 8; ++host) {
        CHECK(names(set, first[host]) == names(reversed, second[7 - host]));
    }
}

// Guards against reassigning the targets of all hosts, which would open many new connections, when
// one host leaves.
TEST_CASE("few assignments change when a host leaves")
{
    const target_set before = make_set(40, 45);
    target_set after = before;
    after.entry_hosts.pop_back();
    const auto old_subsets = make_subsets(before, {});
    const auto new_subsets = make_subsets(after, {});
    std::size_t kept = 0;
    std::size_t total = 0;
    for (std::size_t host = 0; host < after.entry_hosts.size(); ++host) {
        total += old_subsets[host].size();
        for (const std::uint32_t target : old_subsets[host]) {
            kept += std::count(new_subsets[host].begin(), new_subsets[host].end(), target);
        }
    }
    CHECK(kept * 10 >= total * 8);
}
