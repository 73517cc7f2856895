#include "bench/models/share_faults.h"

#include <algorithm>
#include <string>

namespace snipeshore::bench_models {

namespace {

constexpr base::duration schedule_length = std::chrono::seconds(25);
constexpr std::size_t account_count = 2;

struct fault_schedule {
    share_fleet* fleet = nullptr;
    std::mt19937_64 random;
    base::time_point ends;
    std::vector<limits::account_limit> limits;
    double demand_factor = 2;
    std::int64_t kinds =
        5; ///< Number of fault kinds that occur. With few kinds, the whole rate is used.

    std::int64_t below(std::int64_t bound)
    {
        return static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(bound));
    }
    double unit()
    {
        return std::uniform_real_distribution<double>(0, 1)(random);
    }
};

void send_load(fault_schedule& run, std::size_t account)
{
    share_fleet& fleet = *run.fleet;
    const limits::account_limit limit = run.limits[account];
    // Half of the demand goes to one host, which changes every 3 s. The rest is spread over all
    // hosts.
    const auto hot =
        static_cast<std::size_t>(fleet.now().time_since_epoch() / std::chrono::seconds(3)) %
        fleet.host_count();
    const bool to_hot = run.unit() < 0.5;
    const auto any =
        static_cast<std::size_t>(run.below(static_cast<std::int64_t>(fleet.host_count())));
    fleet.request(to_hot ? hot : any, limit.account, [](bool, base::time_point) {});
    if (fleet.now() >= run.ends) {
        return;
    }
    // Pauses let the buckets fill up, so that bursts are used as well.
    const bool pause = run.unit() < 0.002;
    std::exponential_distribution<double> gap(limit.rate.value() * run.demand_factor);
    const auto wait = std::chrono::duration<double>(pause ? 2.0 : gap(run.random));
    fleet.at(fleet.now() + std::chrono::duration_cast<base::duration>(wait),
             [&run, account] { send_load(run, account); });
}

void change_layout(fault_schedule& run)
{
    share_fleet& fleet = *run.fleet;
    std::vector<std::size_t> hosts = fleet.published_hosts();
    switch (run.below(4)) {
    case 0: { // Replace a host by a new one.
        const auto place =
            static_cast<std::size_t>(run.below(static_cast<std::int64_t>(hosts.size())));
        const std::size_t old = hosts[place];
        hosts[place] = fleet.add_host(static_cast<std::size_t>(run.below(4)));
        if (run.unit() < 0.5) {
            fleet.remove(old);
        }
        break;
    }
    case 1: // Remove a host from the layout while it keeps running.
        if (hosts.size() > 3) {
            hosts.erase(hosts.begin() + run.below(static_cast<std::int64_t>(hosts.size())));
        }
        break;
    case 2: // Add a host.
        hosts.push_back(fleet.add_host(static_cast<std::size_t>(run.below(4))));
        break;
    default:
        for (limits::account_limit& limit : run.limits) {
            limit.rate = base::request_rate(10 + 60 * run.unit());
            limit.burst = base::request_count(5 + 80 * run.unit());
        }
        break;
    }
    fleet.publish(hosts, run.limits);
}

void inject_fault(fault_schedule& run)
{
    share_fleet& fleet = *run.fleet;
    const auto host =
        static_cast<std::size_t>(run.below(static_cast<std::int64_t>(fleet.host_count())));
    const milliseconds time(100 + run.below(4000));
    switch (run.below(run.kinds)) {
    case 0: {
        const base::failure_domain_id domain("fd-" + std::to_string(run.below(4)));
        fleet.set_cut(domain, true);
        fleet.at(fleet.now() + time, [&fleet, domain] { fleet.set_cut(domain, false); });
        break;
    }
    case 1:
    case 2:
        fleet.pause(host, time);
        break;
    case 3:
        fleet.restart(host);
        break;
    default:
        change_layout(run);
        break;
    }
    if (fleet.now() < run.ends) {
        fleet.at(fleet.now() + milliseconds(300 + run.below(4000)), [&run] { inject_fault(run); });
    }
}

} // namespace

outcome_counts run_fault_schedule(std::uint64_t seed)
{
    fault_schedule run;
    run.random.seed(seed);
    network_model network;
    network.loss_probability = 0.1 * run.unit();
    network.duplicate_probability = 0.1 * run.unit();
    network.late_fraction = 0.2 * run.unit();
    run.demand_factor = 0.8 + 4 * run.unit();
    run.kinds = 2 + run.below(4);
    for (std::size_t account = 0; account < account_count; ++account) {
        run.limits.push_back({base::account_id("account-" + std::to_string(account)),
                              base::request_rate(10 + 60 * run.unit()),
                              base::request_count(5 + 80 * run.unit())});
    }
    share_fleet fleet({2, 2, 1 + seed % 3}, network, {}, run.limits, seed);
    run.fleet = &fleet;
    run.ends = fleet.now() + schedule_length;
    for (std::size_t account = 0; account < account_count; ++account) {
        send_load(run, account);
    }
    fleet.at(fleet.now() + milliseconds(run.below(5000)), [&run] { inject_fault(run); });
    fleet.run_until(run.ends + std::chrono::seconds(5));
    return fleet.counts();
}

} // namespace snipeshore::bench_models
