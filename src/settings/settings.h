/// @file Settings of a process: gflags flags, each of which can also be set by an environment
/// variable.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace snipeshore::settings {

/// Parses the command line, then sets each flag that was not given from the environment variable
/// `SNIPESHORE_<FLAG>`, if there is one. Returns the problems found. On an unknown flag, gflags
/// ends the process with status 1.
std::vector<std::string> load(int* argc, char*** argv);

/// Validates flag values and collects a problem for each invalid one.
class validator {
public:
    /// Requires "ip:port" with a numeric address; an empty value is valid unless `required`.
    validator& address(std::string_view flag, const std::string& value, bool required);
    validator& not_empty(std::string_view flag, const std::string& value);
    validator& range(std::string_view flag, std::int64_t value, std::int64_t minimum,
                     std::int64_t maximum);
    /// Requires a readable file; an empty path is valid.
    validator& readable_file(std::string_view flag, const std::string& path);
    /// Requires that both flags are set or neither is.
    validator& both_or_neither(std::string_view flag, const std::string& value,
                               std::string_view other_flag, const std::string& other_value);

    const std::vector<std::string>& problems() const;

private:
    std::vector<std::string> m_problems;
};

/// Prints all problems to standard error, one per line.
void print_problems(const std::vector<std::string>& problems);

/// A flag with its current value. Values of flags whose name contains "secret" are masked.
struct effective_setting {
    std::string name;
    std::string value;
    bool is_default = true;
};

/// Returns the flags that the program defines, without those of gflags itself.
std::vector<effective_setting> effective_settings();

/// Reads a whole file and strips line breaks at its end. Returns an empty string if the file cannot
/// be read.
std::string read_text_file(const std::string& path);

} // namespace snipeshore::settings
