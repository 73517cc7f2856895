/// @file Measures the cost of tickets on their owner: state per claim and time per claim, for
/// several numbers of claims. The full claim registry without its cached responses must fit into
/// the 64 MB per node of section 1.6.
#include "bench/models/live_bytes.h"
#include "tickets/claim_registry.h"
#include "tickets/ticket_encoding.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <vector>

using namespace snipeshore;

namespace {

constexpr double bound_mib = 64;
constexpr std::array<std::size_t, 4> sizes{2000, 20000, 80000, 200000};

struct cost {
    double bytes = 0;
    double claim_ns = 0;
    double verify_ns = 0;
};

template <typename Action>
double nanoseconds(const Action& action)
{
    const auto begin = std::chrono::steady_clock::now();
    action();
    const std::chrono::duration<double, std::nano> time = std::chrono::steady_clock::now() - begin;
    return time.count();
}

cost measure(std::size_t count)
{
    const base::time_point now{std::chrono::hours(1)};
    const base::account_id account("cooperative");
    const tickets::fleet_secret secret = tickets::derive_fleet_secret("bench");
    std::vector<tickets::ticket> all;
    for (std::size_t index = 0; index < count; ++index) {
        all.push_back({tickets::random_ticket_id(), base::host_id("host-1"), base::incarnation(1),
                       1, account});
    }
    const std::string encoded_ticket = base::value_of(tickets::mint(all.front(), secret));
    const std::size_t before = bench_models::live_bytes();
    tickets::claim_registry claims =
        tickets::make_claim_registry({}, base::host_id("host-1"), base::incarnation(1), now);
    std::size_t granted = 0;
    cost result;
    const auto number = static_cast<double>(count);
    result.claim_ns =
        nanoseconds([&] {
            for (std::size_t index = 0; index < count; ++index) {
                const auto outcome = tickets::claim(
                    claims, all[index], account,
                    tickets::attempt{base::host_id("host-2"), base::incarnation(1), index + 1},
                    now);
                granted += base::is_ok(outcome) && base::value_of(outcome).verdict ==
                                                       tickets::claim_verdict::granted
                               ? 1
                               : 0;
            }
        }) /
        number;
    result.bytes = static_cast<double>(bench_models::live_bytes() - before) / number;
    constexpr std::size_t verifications = 20000;
    std::size_t verified = 0;
    result.verify_ns =
        nanoseconds([&] {
            for (std::size_t index = 0; index < verifications; ++index) {
                verified += base::is_ok(tickets::parse_and_verify(encoded_ticket, secret)) ? 1 : 0;
            }
        }) /
        static_cast<double>(verifications);
    if (granted != count || verified != verifications) {
        std::fprintf(stderr, "ticket_cost: %zu of %zu granted\n", granted, count);
    }
    return result;
}

} // namespace

int main()
{
    std::array<cost, sizes.size()> costs{};
    for (std::size_t index = 0; index < sizes.size(); ++index) {
        const cost item = measure(sizes.at(index));
        costs.at(index) = item;
        std::printf("bench ticket_state_bytes_%zu %.1f bytes - pass\n", sizes.at(index),
                    item.bytes);
        std::printf("bench claim_ns_%zu %.1f ns - pass\n", sizes.at(index), item.claim_ns);
        std::printf("bench ticket_verify_ns_%zu %.1f ns - pass\n", sizes.at(index), item.verify_ns);
    }
    const auto steps = static_cast<double>(sizes.back() - sizes.front());
    std::printf("bench ticket_state_bytes_slope_per_claim %.6f bytes - pass\n",
                (costs.back().bytes - costs.front().bytes) / steps);
    std::printf("bench claim_ns_slope_per_claim %.6f ns - pass\n",
                (costs.back().claim_ns - costs.front().claim_ns) / steps);
    constexpr double mib = 1024.0 * 1024.0;
    const double state = costs.back().bytes * static_cast<double>(sizes.back()) / mib;
    const bool pass = state <= bound_mib;
    std::printf("bench ticket_state_mib_full_register %.1f MiB %.0f %s\n", state, bound_mib,
                pass ? "pass" : "fail");
    return pass ? 0 : 1;
}
