/// @file Child processes of tests.
#pragma once

#include "base/time.h"

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace snipeshore::test {

/// Starts a program. The destructor ends it with SIGKILL if it still runs.
class process {
public:
    /// Appends standard output and standard error to `log_file`.
    process(const std::string& program, const std::vector<std::string>& arguments,
            const std::string& log_file);
    ~process();
    process(const process&) = delete;
    process& operator=(const process&) = delete;
    process(process&&) = delete;
    process& operator=(process&&) = delete;

    /// Sends a signal to this process only.
    void send_signal(int signal) const;

    /// Exit status, or 128 plus the number of the signal that ended it; empty if it still runs at
    /// the deadline.
    std::optional<int> wait_exit(base::time_point deadline);

    bool is_running();

    pid_t pid() const;

    const std::string& log_file() const;

private:
    std::optional<int> poll_exit();

    pid_t m_pid = -1;
    std::string m_log_file;
    std::optional<int> m_exit;
};

/// Exit status (-1 at the timeout) and output of a command.
struct command_result {
    int status = 0;
    std::string output;
};

/// Runs a program to its end, or ends it at the timeout.
command_result run_command(const std::string& program, const std::vector<std::string>& arguments,
                           std::chrono::milliseconds timeout);

/// Resident memory of a process in bytes; 0 if it has ended.
std::size_t resident_bytes(pid_t pid);

/// Processor time that a process has used; 0 if it has ended.
std::chrono::microseconds cpu_time(pid_t pid);

} // namespace snipeshore::test
