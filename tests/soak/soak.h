/// @file Injects random faults while real host processes serve requests, and checks invariants.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace snipeshore::soak {

enum class fault_set {
    planned,  ///< Only planned work: stops, reloads, changes of the configuration and of targets.
    restored, ///< A store that comes back with an earlier content, and changes, but no stops.
    silent,   ///< A store that falls silent for seconds, again and again.
    all
};

struct soak_settings {
    std::uint64_t seed = 1;
    std::chrono::seconds duration{20};
    std::size_t hosts = 4;
    std::size_t targets = 6;
    fault_set faults = fault_set::all;
    std::string program; ///< Path of the host program.
    std::string
        earlier_program;   ///< Path of an earlier version, which runs beside it; may be empty.
    std::string directory; ///< Directory for settings files and logs.
};

struct soak_result {
    std::vector<std::string> violations; ///< One line for each violated invariant.
    std::vector<std::string> faults;     ///< Injected faults with their times, one line each.
    std::uint64_t runs = 0;
    std::uint64_t responses = 0;
    std::uint64_t successes = 0;
    std::uint64_t refusals = 0;
};

/// Chooses faults and requests with a random generator that is seeded with `settings.seed` only.
soak_result run_soak(const soak_settings& settings);

} // namespace snipeshore::soak
