#include "settings/settings.h"

#include <doctest/doctest.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <cstdlib>

DEFINE_int32(test_limit, 5, "A number for this test.");
DEFINE_string(test_secret, "", "A secret for this test.");

using namespace snipeshore;

// Guards against a process that starts with a bad setting or names only the first one.
TEST_CASE("settings come from flags and the environment")
{
    std::array<char, 8> program{"program"};
    std::array<char*, 2> arguments{program.data(), nullptr};
    int argc = 1;
    char** argv = arguments.data();

    SUBCASE("a variable sets a flag that was not given")
    {
        gflags::FlagSaver restore;
        setenv("SNIPESHORE_TEST_LIMIT", "9", 1);
        CHECK(settings::load(&argc, &argv).empty());
        CHECK(FLAGS_test_limit == 9);
        unsetenv("SNIPESHORE_TEST_LIMIT");
    }
    SUBCASE("a variable with a wrong value is named with the variable and the value")
    {
        gflags::FlagSaver restore;
        setenv("SNIPESHORE_TEST_LIMIT", "many", 1);
        const auto problems = settings::load(&argc, &argv);
        REQUIRE(problems.size() == 1);
        CHECK(problems.front() ==
              "environment variable SNIPESHORE_TEST_LIMIT: \"many\" is not a valid int32");
        unsetenv("SNIPESHORE_TEST_LIMIT");
    }
    SUBCASE("a secret is masked in what is shown")
    {
        gflags::FlagSaver restore;
        setenv("SNIPESHORE_TEST_SECRET", "s3cret", 1);
        CHECK(settings::load(&argc, &argv).empty());
        const auto all = settings::effective_settings();
        const auto secret = std::find_if(all.begin(), all.end(), [](const auto& setting) {
            return setting.name == "test_secret";
        });
        REQUIRE(secret != all.end());
        CHECK(secret->value == "(masked)");
        unsetenv("SNIPESHORE_TEST_SECRET");
    }
    SUBCASE("all problems are reported at once")
    {
        settings::validator checks;
        checks.address("listen", "localhost:80", true)
            .address("inner", "127.0.0.1:70000", true)
            .address("admin", "", false)
            .address("six", "[::1]:80", true)
            .range("limit", 11, 1, 10)
            .not_empty("host_id", "")
            .readable_file("key_file", "/nonexistent/key")
            .both_or_neither("cert", "a", "key", "");
        CHECK(checks.problems().size() == 6);
        CHECK(checks.problems().front() ==
              "--listen: \"localhost:80\" is not an address, expected \"ip:port\"");
    }
}
