#include "base/error_response.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>
#include <vector>

using namespace snipeshore;

namespace {

std::string read_source(const std::string& path)
{
    std::ifstream file(std::string(SNIPESHORE_SOURCE_DIR) + "/" + path, std::ios::binary);
    REQUIRE_MESSAGE(file.good(), path);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

std::set<std::string> matches(const std::string& text, const std::string& pattern,
                              std::size_t group)
{
    const std::regex expression(pattern);
    std::set<std::string> found;
    for (std::sregex_iterator it(text.begin(), text.end(), expression), end; it != end; ++it) {
        found.insert((*it)[group].str());
    }
    return found;
}

std::string format_row(const base::error_response& response)
{
    return "| `" + std::string(response.name) + "` | " + std::to_string(response.http_status) +
           " | " + (response.not_run ? "yes" : "no") + " | `" +
           std::string(base::to_string(response.retry)) + "` | " + std::string(response.meaning) +
           " |";
}

/// The sources of all programs, without their tests.
std::string read_metric_sources()
{
    const std::filesystem::path root = SNIPESHORE_SOURCE_DIR;
    std::string all;
    for (const auto& entry : std::filesystem::recursive_directory_iterator(root / "src/apps")) {
        const std::filesystem::path path = std::filesystem::relative(entry.path(), root);
        if (path.extension() == ".cpp" && path.parent_path().filename() != "tests") {
            all += read_source(path.string());
        }
    }
    return all;
}

std::set<std::string> defined_flags()
{
    std::set<std::string> flags;
    for (const char* path : {"src/apps/common/process_flags.cpp", "src/apps/entry/main.cpp",
                             "src/apps/lookup/main.cpp", "src/apps/agent/main.cpp",
                             "src/apps/ctl/main.cpp", "platform/main.cpp"}) {
        const auto found = matches(read_source(path), "DEFINE_\\w+\\(\\s*(\\w+)", 1);
        flags.insert(found.begin(), found.end());
    }
    return flags;
}

} // namespace

// Guards against documentation that states an HTTP status, a flag or a metric that differs from the
// programs.
TEST_CASE("the documentation matches the programs")
{
    SUBCASE("docs/interface.md contains the row of every error kind")
    {
        const std::string page = read_source("docs/interface.md");
        for (std::uint8_t index = 0; index < base::error_kind_count; ++index) {
            const std::string row =
                format_row(base::response_for(static_cast<base::error_kind>(index)));
            CHECK_MESSAGE(page.find(row) != std::string::npos, row);
        }
    }
    SUBCASE("every metric in the alert rules and in docs/OPERATIONS.md is exported")
    {
        const std::string sources = read_metric_sources();
        const std::string pages =
            read_source("deploy/prometheus/alerts.yml") + read_source("docs/OPERATIONS.md");
        const auto names = matches(pages, "snipeshore_[a-z_]+", 0);
        CHECK(names.size() > 5);
        for (std::string name : names) {
            const std::size_t suffix = name.rfind("_bucket");
            name = name.substr(0, suffix);
            CHECK_MESSAGE(sources.find("\"" + name + "\"") != std::string::npos, name);
        }
    }
    SUBCASE("every flag and environment variable in docs/OPERATIONS.md exists")
    {
        const std::set<std::string> flags = defined_flags();
        const std::string page = read_source("docs/OPERATIONS.md");
        const auto named = matches(page, "--([a-z][a-z_]+)", 1);
        CHECK(named.size() > 5);
        for (const std::string& name : named) {
            CHECK_MESSAGE((flags.contains(name) || name == "help"), name);
        }
        for (const std::string& variable : matches(page, "SNIPESHORE_([A-Z_]+)=", 1)) {
            std::string name;
            for (const char c : variable) {
                name += static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
            }
            CHECK_MESSAGE(flags.contains(name), name);
        }
    }
}
