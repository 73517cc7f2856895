#include "settings/settings.h"

#include "base/ip_port.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>

namespace snipeshore::settings {

namespace {

constexpr std::string_view environment_prefix = "SNIPESHORE_";

bool is_own_flag(const gflags::CommandLineFlagInfo& flag)
{
    return flag.filename.find("gflags") == std::string::npos;
}

std::string environment_name(const std::string& flag)
{
    std::string name(environment_prefix);
    for (const char c : flag) {
        name += static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    }
    return name;
}

} // namespace

std::vector<std::string> load(int* argc, char*** argv)
{
    gflags::ParseCommandLineFlags(argc, argv, true);
    std::vector<std::string> problems;
    std::vector<gflags::CommandLineFlagInfo> flags;
    gflags::GetAllFlags(&flags);
    for (const gflags::CommandLineFlagInfo& flag : flags) {
        if (!is_own_flag(flag) || !flag.is_default) {
            continue;
        }
        const std::string variable = environment_name(flag.name);
        const char* value = std::getenv(variable.c_str());
        if (value == nullptr) {
            continue;
        }
        if (gflags::SetCommandLineOption(flag.name.c_str(), value).empty()) {
            problems.push_back("environment variable " + variable + ": \"" + value +
                               "\" is not a valid " + flag.type);
        }
    }
    for (int index = 1; index < *argc; ++index) {
        problems.push_back(std::string("unexpected argument \"") + (*argv)[index] + "\"");
    }
    return problems;
}

validator& validator::address(std::string_view flag, const std::string& value, bool required)
{
    if (value.empty() && !required) {
        return *this;
    }
    if (!base::parse_ip_port(value)) {
        m_problems.push_back("--" + std::string(flag) + ": \"" + value +
                             "\" is not an address, expected \"ip:port\"");
    }
    return *this;
}

validator& validator::not_empty(std::string_view flag, const std::string& value)
{
    if (value.empty()) {
        m_problems.push_back("--" + std::string(flag) + ": is required");
    }
    return *this;
}

validator& validator::range(std::string_view flag, std::int64_t value, std::int64_t least,
                            std::int64_t most)
{
    if (value < least || value > most) {
        m_problems.push_back("--" + std::string(flag) + ": " + std::to_string(value) +
                             " is out of range, expected " + std::to_string(least) + " to " +
                             std::to_string(most));
    }
    return *this;
}

validator& validator::readable_file(std::string_view flag, const std::string& path)
{
    if (!path.empty() && !std::ifstream(path).good()) {
        m_problems.push_back("--" + std::string(flag) + ": cannot read file \"" + path + "\"");
    }
    return *this;
}

validator& validator::both_or_neither(std::string_view flag, const std::string& value,
                                      std::string_view other_flag, const std::string& other_value)
{
    if (value.empty() != other_value.empty()) {
        m_problems.push_back("--" + std::string(flag) + " and --" + std::string(other_flag) +
                             ": set both or neither");
    }
    return *this;
}

const std::vector<std::string>& validator::problems() const
{
    return m_problems;
}

void print_problems(const std::vector<std::string>& problems)
{
    for (const std::string& problem : problems) {
        std::cerr << "error: " << problem << '\n';
    }
}

std::vector<effective_setting> effective_settings()
{
    std::vector<gflags::CommandLineFlagInfo> flags;
    gflags::GetAllFlags(&flags);
    std::vector<effective_setting> settings;
    for (const gflags::CommandLineFlagInfo& flag : flags) {
        if (!is_own_flag(flag)) {
            continue;
        }
        const bool is_secret = flag.name.find("secret") != std::string::npos;
        const bool is_masked = is_secret && !flag.current_value.empty();
        settings.push_back(
            {flag.name, is_masked ? "(masked)" : flag.current_value, flag.is_default});
    }
    return settings;
}

std::string read_text_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) {
        text.pop_back();
    }
    return text;
}

} // namespace snipeshore::settings
