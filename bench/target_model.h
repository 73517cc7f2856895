/// @file Queueing model of the entry hosts and targets of one failure domain.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace snipeshore::bench {

enum class choice_method : std::uint8_t {
    balancer,             ///< `balancing::choose`
    two_by_report,        ///< The one of two random targets that reports less load.
    two_by_own_in_flight, ///< The one of two random targets with fewer requests in flight from this
                          ///< host.
};

struct account_load {
    double offered_per_s = 0; ///< Requests that the account's callers send.
    double rate_per_s = 0;    ///< Limit; a token bucket refuses the excess. 0 means no limit.
    double burst = 0;
};

struct target_model {
    std::size_t hosts = 4;
    std::size_t targets = 12;
    std::uint32_t slots = 3;
    std::uint32_t connections = 400;
    double service_ms = 10; ///< Mean, exponentially distributed.
    double slow_factor = 1; ///< Factor on the service time of target 0.
    bool lying_reports = false;
    double seconds = 120;
    std::vector<account_load> accounts;
    std::uint64_t seed = 1;
};

struct account_result {
    std::vector<double>
        latencies_ms;          ///< Admitted requests that arrive after the first tenth of the run.
    std::uint64_t refused = 0; ///< Requests refused by the limiter.
    std::uint64_t no_target = 0;
};

/// Requests arrive as a Poisson process at random hosts; each target has `slots` servers and a
/// queue. A new connection costs 1 ms. Reports arrive once a second and are 5 s old. Misleading
/// reports are random numbers, and 0 for target 0.
std::vector<account_result> run_targets(const target_model& model, choice_method method);

/// Returns the value that the given fraction of the values does not exceed.
double quantile(std::vector<double> values, double fraction);

} // namespace snipeshore::bench
