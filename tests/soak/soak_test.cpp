#include "tests/soak/soak.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <unistd.h>

using namespace snipeshore;

namespace {

soak::soak_result run(const std::string& program, std::uint64_t seed)
{
    soak::soak_settings settings;
    settings.seed = seed;
    settings.duration = std::chrono::seconds(12);
    settings.program = std::string(SNIPESHORE_BINARY_DIR) + "/" + program;
    settings.directory =
        "/tmp/snipeshore-soak-test." + std::to_string(getpid()) + "/" + std::to_string(seed);
    std::filesystem::create_directories(settings.directory);
    return soak::run_soak(settings);
}

bool has(const soak::soak_result& result, std::string_view invariant)
{
    return std::any_of(result.violations.begin(), result.violations.end(),
                       [&](const std::string& line) { return line.starts_with(invariant); });
}

} // namespace

TEST_CASE("real hosts violate no invariant under random faults")
{
    // A seed that has failed stays in this list, with a comment on the cause of the failure.
    for (const std::uint64_t seed : {1, 2}) {
        const soak::soak_result result = run("snipeshore-host", seed);
        CAPTURE(seed);
        for (const std::string& line : result.faults) {
            MESSAGE(line);
        }
        CHECK_MESSAGE(result.violations.empty(), result.violations.front());
        CHECK(result.successes > 0);
    }
}

TEST_CASE("the soak detects the violations of a naive host")
{
    const soak::soak_result result = run("naive_host", 1);
    CHECK(has(result, "once"));
    CHECK(has(result, "refusal"));
    CHECK(has(result, "quota"));
    CHECK(has(result, "key"));
}
