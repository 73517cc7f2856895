#include "signals/target_rest.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <random>
#include <vector>

using namespace snipeshore;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t slots = 8;
constexpr std::chrono::milliseconds step{5};
constexpr std::chrono::milliseconds service_time{20};

/// What a resting target gets from many hosts, which all have requests waiting for it.
struct arrivals {
    int in_rest = 0;        ///< Until the end of the rest.
    int most_in_100_ms = 0; ///< Afterwards.
};

arrivals run_hosts(int hosts, std::chrono::milliseconds rest)
{
    struct view {
        signals::target_signals target;
        std::vector<base::time_point> running;
    };
    std::mt19937_64 random(20261205);
    const base::time_point start = base::time_point{} + 1h;
    std::vector<view> views(static_cast<std::size_t>(hosts));
    for (view& one : views) {
        signals::ask_rest(one.target, {rest, views.size(), random()}, start);
    }
    arrivals seen;
    std::array<int, 1000> per_100_ms{};
    for (base::time_point now = start; now < start + rest + 3s; now += step) {
        for (view& one : views) {
            std::erase_if(one.running, [&](base::time_point end) {
                if (now < end) {
                    return false;
                }
                signals::on_completed(one.target, slots, now);
                return true;
            });
            if (signals::may_send(one.target, static_cast<std::uint32_t>(one.running.size()),
                                  now) &&
                one.running.empty()) {
                one.running.push_back(now + service_time);
                seen.in_rest += now < start + rest ? 1 : 0;
                const auto first = one.target.allowed == 1 ? 1 : 0;
                per_100_ms.at(static_cast<std::size_t>((now - start) / 100ms)) += first;
            }
        }
    }
    seen.most_in_100_ms = *std::max_element(per_100_ms.begin(), per_100_ms.end());
    return seen;
}

} // namespace

TEST_CASE("hosts leave a resting target alone and do not return as a wave")
{
    for (const int hosts : {10, 81, 300, 1000}) {
        const arrivals seen = run_hosts(hosts, 4s);
        CHECK(seen.in_rest == 0);
        // First requests come at 100 per second, or spread over 2 s, and by chance some more.
        CHECK(seen.most_in_100_ms <= std::max(10, hosts / 20) * 2 + 4);
    }
}
