/// @file Settings of target choice.
#pragma once

#include <chrono>
#include <cstdint>

namespace snipeshore::balancing {

using namespace std::chrono_literals;

struct settings {
    std::uint32_t hosts_per_target = 4; ///< Number of entry hosts that use one target.
    std::uint32_t min_subset = 4;       ///< Leaves alternatives to ejected or slow targets.
    std::chrono::milliseconds warm_up{30000};
    double warm_up_floor = 0.1; ///< Weight of a target at the start of its slow start.
    std::chrono::nanoseconds connect_cost{1ms};
    /// Half-life of the latency and error rate of an unused target.
    std::chrono::milliseconds observation_half_life{10000};
    double latency_gain = 0.2;         ///< Weight of a new measurement.
    double shed_factor = 0.7;          ///< Multiplies the weight at each load-shedding response.
    double shed_floor = 0.05;          ///< Lower bound of the weight.
    double shed_recovery_per_s = 0.05; ///< Weight regained per second.
    std::uint32_t eject_after_failures = 5; ///< Consecutive failures.
    double eject_error_rate = 0.5;
    std::uint32_t eject_min_samples = 20;     ///< Samples before the error rate is used.
    std::chrono::milliseconds ejection{5000}; ///< Doubles with each repeated ejection.
    std::chrono::milliseconds max_ejection{300000};
    double tie_margin = 0.05; ///< Costs that differ by at most this fraction are a tie.
};

} // namespace snipeshore::balancing
