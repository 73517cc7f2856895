/// @file Measures the latency of target choice when load reports are misleading, and the latency of
/// client accounts while another account sends far above its rate.
#include "bench/report.h"
#include "bench/target_model.h"

#include <algorithm>
#include <cstdio>

using namespace snipeshore::bench;

namespace {

constexpr int runs = 5;

double p99_of(target_model model, choice_method method)
{
    double sum = 0;
    for (int run = 1; run <= runs; ++run) {
        model.seed = static_cast<std::uint64_t>(run);
        sum += quantile(run_targets(model, method)[0].latencies_ms, 0.99);
    }
    return sum / runs;
}

bool bench_target_choice()
{
    target_model model;
    model.slow_factor = 8;
    model.lying_reports = true;
    // 60% of the targets' capacity: 11 targets at full speed and one at an eighth of it.
    model.accounts = {{0.6 * 3 * 100 * (11 + 1.0 / 8)}};
    const double balancer_p99 = p99_of(model, choice_method::balancer);
    const double by_report_p99 = p99_of(model, choice_method::two_by_report);
    const double by_in_flight_p99 = p99_of(model, choice_method::two_by_own_in_flight);
    report("target_choice_p99", balancer_p99, "ms", bound_kind::information, 0);
    report("random_of_two_reports_p99", by_report_p99, "ms", bound_kind::information, 0);
    report("random_of_two_in_flight_p99", by_in_flight_p99, "ms", bound_kind::information, 0);
    report("target_choice_p99_ratio_in_flight", balancer_p99 / by_in_flight_p99, "ratio",
           bound_kind::information, 0);
    return report("target_choice_p99_ratio", balancer_p99 / by_report_p99, "ratio",
                  bound_kind::at_most, 0.7);
}

struct account_stats {
    double ratio = 0;
    double worst_ms = 0;
    double refused_in_rate_percent = 0;
};

/// Runs eight accounts, two of them large. The fourth sends ten times its usual rate.
account_stats run_accounts(bool limited)
{
    target_model model;
    constexpr double fractions[] = {0.3, 0.25, 0.1, 0.1, 0.1, 0.05, 0.05, 0.05};
    constexpr std::size_t noisy = 3;
    constexpr double total = 0.5 * 3 * 100 * 12;
    for (std::size_t index = 0; index < std::size(fractions); ++index) {
        const double usual = total * fractions[index];
        // The limit is a quarter above the usual rate, with a burst of one second.
        model.accounts.push_back({usual * (index == noisy ? 10 : 1), limited ? usual * 1.25 : 0,
                                  limited ? usual * 1.25 : 0});
    }
    model.seconds = 60;
    std::vector<double> p99(model.accounts.size(), 0.0);
    account_stats stats;
    double refused = 0;
    double offered = 0;
    for (int run = 1; run <= runs; ++run) {
        model.seed = static_cast<std::uint64_t>(run);
        const auto results = run_targets(model, choice_method::balancer);
        for (std::size_t index = 0; index < results.size(); ++index) {
            p99[index] += quantile(results[index].latencies_ms, 0.99) / runs;
            if (index != noisy) {
                refused += static_cast<double>(results[index].refused + results[index].no_target);
                offered += static_cast<double>(results[index].latencies_ms.size());
            }
        }
    }
    stats.worst_ms = *std::max_element(p99.begin(), p99.end());
    stats.ratio = stats.worst_ms / quantile(p99, 0.5);
    stats.refused_in_rate_percent = 100 * refused / (offered + refused);
    return stats;
}

bool bench_accounts()
{
    const account_stats limited = run_accounts(true);
    const account_stats open = run_accounts(false);
    report("worst_account_p99", limited.worst_ms, "ms", bound_kind::information, 0);
    report("worst_account_p99_without_limiter", open.worst_ms, "ms", bound_kind::information, 0);
    report("accounts_in_rate_refused", limited.refused_in_rate_percent, "percent",
           bound_kind::information, 0);
    return report("worst_account_p99_ratio", limited.ratio, "ratio", bound_kind::at_most, 1.5);
}

} // namespace

int main()
{
    const bool choice = bench_target_choice();
    const bool accounts = bench_accounts();
    return choice && accounts ? 0 : 1;
}
