/// @file Child process of a test.
#pragma once

#include "base/time.h"

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace snipeshore::test {

/// Starts a program and ends it with SIGKILL at destruction if it still runs.
class process {
public:
    /// Output goes to `log_file`.
    process(const std::string& program, const std::vector<std::string>& arguments,
            const std::string& log_file);
    ~process();
    process(const process&) = delete;
    process& operator=(const process&) = delete;
    process(process&&) = delete;
    process& operator=(process&&) = delete;

    /// Only this process gets the signal.
    void send_signal(int signal) const;

    /// Exit status, or 128 plus the signal; nothing if it still runs at the deadline.
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

/// Runs a program to its end; returns exit status and standard output.
struct command_result {
    int status = 0;
    std::string output;
};

command_result run_command(const std::string& program, const std::vector<std::string>& arguments,
                           std::chrono::milliseconds timeout);

/// Resident memory of a process in bytes; 0 if it is gone.
std::size_t resident_bytes(pid_t pid);

/// Processor time a process has used.
std::chrono::microseconds cpu_time(pid_t pid);

} // namespace snipeshore::test
