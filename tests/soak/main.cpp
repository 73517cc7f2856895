/// @file snipeshore_soak: runs the soak with the given seeds, for example
/// `--first_seed=1 --seeds=50 --seconds=20`.

#include "settings/settings.h"
#include "tests/soak/soak.h"

#include <gflags/gflags.h>
#include <sodium.h>

#include <filesystem>
#include <iostream>
#include <optional>

DEFINE_uint64(first_seed, 1, "First seed.");
DEFINE_uint64(seeds, 1, "Number of seeds.");
DEFINE_uint64(seconds, 20, "Duration of each run after startup.");
DEFINE_uint64(hosts, 4, "Number of host processes.");
DEFINE_string(faults, "all",
              "Faults to inject: planned (planned work only), restored (a store that comes back "
              "with an earlier "
              "content), silent (a store that falls silent for seconds) or all.");
DEFINE_string(program, SNIPESHORE_BINARY_DIR "/snipeshore-host", "Path of the host program.");
DEFINE_string(
    earlier, "",
    "Path of an earlier version of the host program: half of the hosts start with it, and "
    "a host that starts again changes to the other one.");
DEFINE_string(directory, "/tmp/snipeshore-soak", "Directory for settings files and logs.");

namespace {

std::optional<snipeshore::soak::fault_set> parse_faults(const std::string& name)
{
    using snipeshore::soak::fault_set;
    if (name == "planned") {
        return fault_set::planned;
    }
    if (name == "restored") {
        return fault_set::restored;
    }
    if (name == "silent") {
        return fault_set::silent;
    }
    return name == "all" ? std::optional(fault_set::all) : std::nullopt;
}

} // namespace

int main(int argc, char** argv)
{
    using namespace snipeshore;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto faults = parse_faults(FLAGS_faults);
    if (!faults || sodium_init() < 0) {
        std::cerr << "error: --faults must be planned, restored, silent or all\n";
        return 1;
    }
    int failed = 0;
    for (std::uint64_t i = 0; i < FLAGS_seeds; ++i) {
        soak::soak_settings settings;
        settings.seed = FLAGS_first_seed + i;
        settings.duration = std::chrono::seconds(FLAGS_seconds);
        settings.hosts = FLAGS_hosts;
        settings.faults = *faults;
        settings.program = FLAGS_program;
        settings.earlier_program = FLAGS_earlier;
        settings.directory = FLAGS_directory + "/" + std::to_string(settings.seed);
        std::filesystem::create_directories(settings.directory);
        const soak::soak_result result = soak::run_soak(settings);
        std::cout << "seed " << settings.seed << ": " << result.violations.size() << " violations, "
                  << result.runs << " runs, " << result.successes << " successful of "
                  << result.responses << " responses, " << result.refusals << " refusals, "
                  << result.faults.size() << " faults" << std::endl;
        for (const std::string& line : result.violations) {
            std::cout << "  violation " << line << '\n';
        }
        if (!result.violations.empty()) {
            ++failed;
            for (const std::string& line : result.faults) {
                std::cout << "  fault " << line << '\n';
            }
        }
    }
    return failed == 0 ? 0 : 1;
}
