/// @file Settings of a process: gflags flags, each also set by an environment variable.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace snipeshore::settings {

/// Parses the command line, then takes `SNIPESHORE_<FLAG>` for each flag that was not given.
/// Returns the problems found; unknown flags end the process with status 1 (gflags).
std::vector<std::string> load(int* argc, char*** argv);

/// Checks values and collects one problem per flag.
class validator {
public:
    /// "ip:port" with a numeric address.
    validator& address(std::string_view flag, const std::string& value, bool required);
    validator& not_empty(std::string_view flag, const std::string& value);
    validator& range(std::string_view flag, std::int64_t value, std::int64_t least,
                     std::int64_t most);
    /// A file that can be read; empty is allowed.
    validator& readable_file(std::string_view flag, const std::string& path);
    /// Both or neither are set.
    validator& both_or_neither(std::string_view flag, const std::string& value,
                               std::string_view other_flag, const std::string& other_value);

    const std::vector<std::string>& problems() const;

private:
    std::vector<std::string> m_problems;
};

/// Prints all problems to the standard error, one line each.
void print_problems(const std::vector<std::string>& problems);

/// One flag with its value in force; values of flags whose name contains "secret" are masked.
struct effective_setting {
    std::string name;
    std::string value;
    bool is_default = true;
};

/// The flags that the program itself defines in files below `src/`.
std::vector<effective_setting> effective_settings();

/// Reads a whole file and strips a final line break; empty when it cannot be read.
std::string read_text_file(const std::string& path);

} // namespace snipeshore::settings
