/// @file Randomized faults on real host processes, checked while they run.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace snipeshore::soak {

struct soak_settings {
    std::uint64_t seed = 1;
    std::chrono::seconds length{20};
    std::size_t hosts = 4;
    std::size_t targets = 6;
    std::string program;   ///< Of a host.
    std::string directory; ///< For settings and logs.
};

struct soak_result {
    std::vector<std::string> broken; ///< Promises, one line each.
    std::vector<std::string> faults; ///< What was injected, with its time.
    std::uint64_t runs = 0;
    std::uint64_t answers = 0;
    std::uint64_t good = 0;
    std::uint64_t refusals = 0;
};

/// The schedule of faults and requests follows from the seed alone.
soak_result run_soak(const soak_settings& settings);

} // namespace snipeshore::soak
