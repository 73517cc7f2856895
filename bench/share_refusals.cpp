/// @file Measures wrongful refusals: requests that the shares refuse although a central token
/// bucket admits them, under skewed, moving demand. Compares with a static equal split over all
/// hosts.
#include "bench/models/share_fleet.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <numeric>
#include <string>
#include <vector>

using namespace snipeshore;
using bench_models::central_bucket;
using bench_models::share_fleet;

namespace {

constexpr double bound_percent = 0.5;
constexpr std::uint64_t first_seed = 20261204;
constexpr std::size_t runs = 3;

struct deployment {
    std::string name;
    base::duration between_domains;
    std::vector<limits::account_limit> accounts;
};

limits::account_limit limit(const std::string& name, double rate, double burst)
{
    return {base::account_id(name), base::request_rate(rate), base::request_count(burst)};
}

/// Demand of one account over time. Its usual mean is below the account's rate, and the hosts that
/// receive it change.
struct account_load {
    limits::account_limit limit;
    std::vector<double> host_weights;
    double factor = 0; ///< Demand as a multiple of the account's rate.
};

constexpr double usual_factor = 0.7;
constexpr double peak_factor = 1.2; ///< Demand during peaks, which the burst covers.
constexpr double excess_factor =
    5;                       ///< Demand of the one account that exceeds its rate several times.
constexpr double skew = 1.2; ///< Exponent of the Zipf distribution over hosts.

/// Verdicts on the requests that arrived in one second for one account.
struct second_counts {
    std::size_t central = 0;
    std::size_t shares = 0;
    std::size_t fixed = 0;
};

struct load_run {
    share_fleet* fleet = nullptr;
    std::mt19937_64
        random; ///< Used for the load only, so that the load does not depend on the shares.
    std::vector<account_load> loads;
    std::vector<central_bucket> central;
    std::vector<std::vector<central_bucket>> fixed; ///< Per account and host.
    base::time_point measured_from;
    base::time_point ends;
    std::map<std::pair<std::size_t, std::int64_t>, second_counts> seconds;
};

double draw(load_run& run)
{
    return std::uniform_real_distribution<double>(0, 1)(run.random);
}

/// Moves the account's demand to other hosts and repeats this every 5 to 15 s.
void move_demand(load_run& run, std::size_t account)
{
    std::vector<double>& weights = run.loads[account].host_weights;
    weights.assign(run.fleet->host_count(), 0);
    for (std::size_t rank = 0; rank < weights.size(); ++rank) {
        weights[rank] = 1 / std::pow(static_cast<double>(rank + 1), skew);
    }
    std::shuffle(weights.begin(), weights.end(), run.random);
    const auto pause = bench_models::milliseconds(5000 + static_cast<int>(10000 * draw(run)));
    run.fleet->at(run.fleet->now() + pause, [&run, account] { move_demand(run, account); });
}

/// Switches between usual demand for 10 to 30 s and peaks of 1 to 2 s.
void change_factor(load_run& run, std::size_t account, bool peak)
{
    run.loads[account].factor = peak ? peak_factor : usual_factor;
    const double wait = peak ? 1000 + 1000 * draw(run) : 10000 + 20000 * draw(run);
    run.fleet->at(run.fleet->now() + bench_models::milliseconds(static_cast<int>(wait)),
                  [&run, account, peak] { change_factor(run, account, !peak); });
}

/// Every 30 s, one random account sends far above its rate for 4 s.
void start_excess(load_run& run)
{
    const std::size_t account = run.random() % run.loads.size();
    const auto set = [&run, account](double factor) {
        run.loads[account].factor = factor;
    };
    set(excess_factor);
    run.fleet->at(run.fleet->now() + std::chrono::seconds(4), [set] { set(usual_factor); });
    run.fleet->at(run.fleet->now() + std::chrono::seconds(30), [&run] { start_excess(run); });
}

void send_one(load_run& run, std::size_t account)
{
    const account_load& load = run.loads[account];
    std::discrete_distribution<std::size_t> pick(load.host_weights.begin(),
                                                 load.host_weights.end());
    const std::size_t host = pick(run.random);
    const base::time_point now = run.fleet->now();
    const bool central = bench_models::take_central(run.central[account], now);
    const bool fixed = bench_models::take_central(run.fixed[account][host], now);
    const std::int64_t second =
        std::chrono::floor<std::chrono::seconds>(now).time_since_epoch().count();
    const bool measured = now >= run.measured_from;
    if (measured) {
        second_counts& counts = run.seconds[{account, second}];
        counts.central += central ? 1 : 0;
        counts.fixed += fixed ? 1 : 0;
    }
    run.fleet->request(host, load.limit.account,
                       [&run, account, second, measured](bool admitted, base::time_point) {
                           if (measured && admitted) {
                               ++run.seconds[{account, second}].shares;
                           }
                       });
    if (now >= run.ends) {
        return;
    }
    std::exponential_distribution<double> gap(load.limit.rate.value() * load.factor);
    const auto wait =
        std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(gap(run.random)));
    run.fleet->at(now + wait, [&run, account] { send_one(run, account); });
}

struct totals {
    std::size_t central = 0;
    std::size_t missing_shares = 0;
    std::size_t missing_fixed = 0;
    std::size_t messages = 0;
    std::size_t requests = 0;
};

/// Returns how many fewer requests were admitted than by the central bucket. In a second in which
/// the central bucket admits everything, this is the number of refusals.
std::size_t missing(std::size_t central, std::size_t admitted)
{
    return central > admitted ? central - admitted : 0;
}

void run_deployment(const deployment& which, std::uint64_t seed, totals& sum)
{
    bench_models::network_model network;
    network.between_domains = which.between_domains;
    share_fleet fleet({3, 2, 2}, network, {}, which.accounts, seed);
    load_run run;
    run.fleet = &fleet;
    run.random.seed(seed);
    run.measured_from = fleet.now() + std::chrono::seconds(15);
    run.ends = fleet.now() + std::chrono::seconds(135);
    const auto hosts = static_cast<double>(fleet.host_count());
    for (const limits::account_limit& item : which.accounts) {
        run.loads.push_back({item, {}, usual_factor});
        const double rate = item.rate.value();
        const double burst = item.burst.value();
        run.central.push_back({rate, burst, burst, fleet.now()});
        run.fixed.emplace_back(fleet.host_count(), central_bucket{rate / hosts, burst / hosts,
                                                                  burst / hosts, fleet.now()});
    }
    for (std::size_t account = 0; account < run.loads.size(); ++account) {
        move_demand(run, account);
        change_factor(run, account, false);
        // Ledgers start empty and begin to fill after the longest loan. The load starts when they
        // are full.
        fleet.at(fleet.now() + std::chrono::seconds(10),
                 [&run, account] { send_one(run, account); });
    }
    fleet.at(fleet.now() + std::chrono::seconds(20), [&run] { start_excess(run); });
    fleet.run_until(run.ends + std::chrono::seconds(1));
    for (const auto& [key, counts] : run.seconds) {
        sum.central += counts.central;
        sum.missing_shares += missing(counts.central, counts.shares);
        sum.missing_fixed += missing(counts.central, counts.fixed);
    }
    sum.messages += fleet.counts().messages;
    sum.requests += fleet.counts().requests;
}

bool report(const deployment& which)
{
    totals sum;
    for (std::uint64_t run = 0; run < runs; ++run) {
        run_deployment(which, first_seed + run, sum);
    }
    const auto percent = [&](std::size_t count) {
        return 100.0 * static_cast<double>(count) / static_cast<double>(sum.central);
    };
    const bool pass = percent(sum.missing_shares) <= bound_percent;
    std::printf("bench wrongful_refusals_percent_%s %.3f %% %.1f %s\n", which.name.c_str(),
                percent(sum.missing_shares), bound_percent, pass ? "pass" : "fail");
    std::printf("bench wrongful_refusals_percent_static_split_%s %.3f %% - pass\n",
                which.name.c_str(), percent(sum.missing_fixed));
    std::printf("bench share_messages_per_request_%s %.3f messages - pass\n", which.name.c_str(),
                static_cast<double>(sum.messages) / static_cast<double>(sum.requests));
    return pass;
}

} // namespace

int main()
{
    const deployment jasmin{"jasmin",
                            bench_models::milliseconds(3),
                            {limit("cooperative", 600, 900), limit("festival", 400, 600),
                             limit("press", 200, 300), limit("club-1", 40, 80),
                             limit("club-2", 40, 80), limit("club-3", 30, 60),
                             limit("club-4", 20, 40), limit("club-5", 20, 40)}};
    const deployment guadalupe{"guadalupe",
                               bench_models::milliseconds(5),
                               {limit("control-room", 300, 450), limit("maintenance", 200, 300),
                                limit("inspection", 100, 150), limit("intake-1", 30, 60),
                                limit("intake-2", 30, 60), limit("intake-3", 30, 60),
                                limit("audit", 20, 40), limit("visitors", 20, 40)}};
    const bool first = report(jasmin);
    const bool second = report(guadalupe);
    return first && second ? 0 : 1;
}
