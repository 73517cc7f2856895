/// @file Measures the cost of steering at the target size of two years, and its slopes over smaller
/// sizes.
#include "bench/report.h"
#include "bench/steering_model.h"
#include "steering/block_table.h"
#include "steering/plan.h"

#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <random>
#include <string>
#include <vector>

using namespace snipeshore;
using namespace snipeshore::bench;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t target_blocks = 340000;
constexpr std::size_t target_sites = 140;
constexpr std::size_t target_hosts = 1000;
constexpr std::size_t regions = 9;
constexpr std::size_t domains = 22;
constexpr std::size_t services = 4;
/// 1.9% of the decision interval of 1 s.
constexpr double decide_bound_us = 19000;
constexpr double mib = 1024.0 * 1024.0;

double cpu_seconds()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

double heap_mib()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd) / mib;
}

config::document document_of(double size)
{
    fleet_shape shape;
    shape.regions = regions;
    shape.domains_per_region = 3;
    shape.hosts_per_domain = 1;
    shape.sites = static_cast<std::size_t>(size * target_sites);
    shape.services = services;
    shape.region_capacity = 200000;
    shape.link_bits = 400'000'000'000ULL;
    config::document document = make_document(shape);
    document.failure_domains.resize(domains);
    document.hosts.clear();
    const auto hosts = static_cast<std::size_t>(size * target_hosts);
    for (std::size_t host = 0; host < hosts; ++host) {
        document.hosts.push_back({base::host_id("host-" + std::to_string(host)),
                                  document.failure_domains[host % domains].id});
    }
    for (std::size_t domain = 0; domain < domains; ++domain) {
        document.failure_domains[domain].region = document.regions[domain % regions].id;
    }
    for (std::size_t site = 0; site < document.sites.size(); ++site) {
        document.sites[site].nearest = document.failure_domains[site % domains].id;
    }
    return document;
}

std::string ipv4_block(std::size_t index)
{
    // Blocks are /24, except that every sixteenth is the /20 that contains the next fifteen.
    const std::size_t base = index * 256 + 0x01000000;
    const bool is_wide = index % 16 == 0;
    return std::to_string(base >> 24U & 255U) + "." + std::to_string(base >> 16U & 255U) + "." +
           std::to_string(base >> 8U & 255U) + ".0/" + (is_wide ? "20" : "24");
}

std::string ipv6_block(std::size_t index)
{
    char text[64];
    std::snprintf(text, sizeof text, "2001:%zx:%zx::/48", index >> 16U, index & 0xffffU);
    return text;
}

config::document with_blocks(std::size_t count, double ipv6_fraction)
{
    config::document document;
    for (std::size_t site = 0; site < target_sites; ++site) {
        document.sites.push_back(
            {base::site_id("site-" + std::to_string(site)), base::failure_domain_id("domain-0")});
    }
    const auto ipv6 = static_cast<std::size_t>(ipv6_fraction * static_cast<double>(count));
    for (std::size_t index = 0; index < count; ++index) {
        document.client_blocks.push_back({index < ipv6 ? ipv6_block(index) : ipv4_block(index),
                                          document.sites[index * 7 % target_sites].id});
    }
    return document;
}

struct steer_cost {
    double decide_us = 0;     ///< Mean of the most expensive situation.
    double max_decide_us = 0; ///< Longest single decision.
    double heap_mib =
        0; ///< Plan, state, inputs and decision, with memory that the allocator retains.
    double state_kib = 0; ///< Steering state only.
};

/// Measures three situations and keeps the largest mean: no fault, one region failed, and two
/// regions failed with more demand than the remaining regions can serve.
steer_cost measure_steering(double size)
{
    const config::document document = document_of(size);
    const double heap_before = heap_mib();
    const steering::plan plan = base::value_of(steering::make_plan(document));
    const std::size_t rows = plan.sites.size() * plan.services.size();
    steer_cost result;
    for (int situation = 0; situation < 3; ++situation) {
        steering::steering_state state;
        steering::inputs inputs;
        const double demand = (situation == 2 ? 0.9 : 0.5) * 200000 * 0.8 * regions /
                              static_cast<double>(rows * plan.deciders);
        inputs.demand.assign(rows, demand);
        constexpr int decisions = 60;
        double used_cpu_seconds = 0;
        for (int second = 0; second < decisions; ++second) {
            const base::time_point now(1h + std::chrono::seconds(second));
            inputs.demand_taken = now;
            inputs.region_load.assign(plan.regions.size(), {80000, now - 10s});
            inputs.link_bits.assign(plan.links.size(), {1e9, now - 10s});
            inputs.domain_health.clear();
            for (const auto& domain : plan.domains) {
                const bool lost = second > 5 && domain.region < situation;
                inputs.domain_health.push_back(
                    {lost ? steering::domain_health::lost : steering::domain_health::healthy, now,
                     std::nullopt});
            }
            // Demand is uneven, so that rows differ.
            for (std::size_t row = 0; row < rows; ++row) {
                inputs.demand[row] =
                    demand * (0.5 + static_cast<double>(
                                        (row * 37 + static_cast<std::size_t>(second)) % 100) /
                                        100);
            }
            const double before = cpu_seconds();
            steering::decision decision = steering::decide(plan, inputs, state, now);
            const double elapsed_cpu_seconds = cpu_seconds() - before;
            used_cpu_seconds += elapsed_cpu_seconds;
            result.max_decide_us = std::max(result.max_decide_us, 1e6 * elapsed_cpu_seconds);
            state = std::move(decision.state);
        }
        result.decide_us = std::max(result.decide_us, 1e6 * used_cpu_seconds / decisions);
        result.heap_mib = std::max(result.heap_mib, heap_mib() - heap_before);
        result.state_kib =
            std::max(result.state_kib, static_cast<double>(steering::memory_of(state)) / 1024);
    }
    return result;
}

/// Returns the least-squares slope of y over x.
double slope(const std::vector<double>& x, const std::vector<double>& y)
{
    double mean_x = 0;
    double mean_y = 0;
    for (std::size_t index = 0; index < x.size(); ++index) {
        mean_x += x[index] / static_cast<double>(x.size());
        mean_y += y[index] / static_cast<double>(y.size());
    }
    double numerator = 0;
    double denominator = 0;
    for (std::size_t index = 0; index < x.size(); ++index) {
        numerator += (x[index] - mean_x) * (y[index] - mean_y);
        denominator += (x[index] - mean_x) * (x[index] - mean_x);
    }
    return numerator / denominator;
}

bool bench_decide()
{
    std::vector<double> sites;
    std::vector<double> micros;
    std::vector<double> kibs;
    steer_cost cost;
    for (const double size : {0.25, 0.5, 0.75, 1.0}) {
        cost = measure_steering(size);
        sites.push_back(size * target_sites);
        micros.push_back(cost.decide_us);
        kibs.push_back(cost.state_kib);
        const std::string percent = std::to_string(static_cast<int>(size * 100)) + "_percent";
        report(("steer_decide_us_at_" + percent).c_str(), cost.decide_us, "us",
               bound_kind::information, 0);
        report(("steer_state_kib_at_" + percent).c_str(), cost.state_kib, "KiB",
               bound_kind::information, 0);
    }
    report("steer_decide_slope", slope(sites, micros), "us_per_site", bound_kind::information, 0);
    report("steer_state_slope", slope(sites, kibs), "KiB_per_site", bound_kind::information, 0);
    report("steer_decide_longest_us", cost.max_decide_us, "us", bound_kind::information, 0);
    const bool in_time = report("steer_decide_us_at_target_size", micros.back(), "us",
                                bound_kind::at_most, decide_bound_us);
    return report("steer_state_mib", cost.heap_mib, "MiB", bound_kind::at_most, 64) && in_time;
}

steering::client_address random_address(std::mt19937_64& random, double ipv6_fraction)
{
    const std::size_t index = random() % target_blocks;
    const bool is_ipv6 = static_cast<double>(index) < ipv6_fraction * target_blocks;
    std::string text = is_ipv6 ? ipv6_block(index) : ipv4_block(index);
    text.resize(text.find('/'));
    auto address = steering::parse_client_address(text).value();
    address.bytes[is_ipv6 ? 15 : 3] = static_cast<std::uint8_t>(random());
    return address;
}

bool bench_table(double ipv6_fraction, const char* suffix, bool is_bound)
{
    const config::document document = with_blocks(target_blocks, ipv6_fraction);
    const double heap_before = heap_mib();
    const auto built = steering::build_block_table(document);
    if (!base::is_ok(built)) {
        std::printf("# %s\n", base::error_of(built).detail.c_str());
        return false;
    }
    const double size = heap_mib() - heap_before;
    std::mt19937_64 random(1);
    std::vector<steering::client_address> addresses;
    for (int index = 0; index < 200000; ++index) {
        addresses.push_back(random_address(random, ipv6_fraction));
    }
    std::uint64_t found = 0;
    constexpr int rounds = 10;
    const double before = cpu_seconds();
    for (int round = 0; round < rounds; ++round) {
        for (const auto& address : addresses) {
            found += match_block(base::value_of(built), address).has_value() ? 1 : 0;
        }
    }
    const double used_cpu_seconds = cpu_seconds() - before;
    const auto matches = static_cast<double>(addresses.size() * rounds);
    report((std::string("lookup_match_per_s") + suffix).c_str(), matches / used_cpu_seconds,
           "per_s", bound_kind::information, 0);
    const bool all_found = static_cast<double>(found) == matches;
    return report((std::string("lookup_table_mib") + suffix).c_str(), size, "MiB",
                  is_bound ? bound_kind::at_most : bound_kind::information, 32) &&
           all_found;
}

bool bench_table_slope()
{
    std::vector<double> blocks;
    std::vector<double> mibs;
    for (const double size : {0.25, 0.5, 0.75, 1.0}) {
        const auto count = static_cast<std::size_t>(size * target_blocks);
        const auto built = steering::build_block_table(with_blocks(count, 0.2));
        blocks.push_back(static_cast<double>(count));
        mibs.push_back(static_cast<double>(steering::memory_of(base::value_of(built))) / mib);
    }
    return report("lookup_table_slope", slope(blocks, mibs) * mib, "bytes_per_block",
                  bound_kind::information, 0);
}

} // namespace

int main()
{
    bool passed = bench_decide();
    passed &= bench_table(0.2, "", true);
    passed &= bench_table(1.0, "_all_ipv6", true);
    passed &= bench_table_slope();
    return passed ? 0 : 1;
}
