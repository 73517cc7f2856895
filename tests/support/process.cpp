#include "tests/support/process.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <poll.h>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char** environ;

namespace snipeshore::test {

namespace {

using namespace std::chrono_literals;

constexpr auto poll_interval = 5ms;

pid_t spawn(const std::string& program, const std::vector<std::string>& arguments,
            const std::string& log_file)
{
    std::vector<char*> argv;
    argv.push_back(const_cast<char*>(program.c_str()));
    for (const std::string& argument : arguments) {
        argv.push_back(const_cast<char*>(argument.c_str()));
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 0, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, 1, log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    posix_spawnattr_t attributes{};
    posix_spawnattr_init(&attributes);
    sigset_t none{};
    sigemptyset(&none);
    posix_spawnattr_setsigmask(&attributes, &none);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
    pid_t pid = -1;
    const int failure =
        posix_spawn(&pid, program.c_str(), &actions, &attributes, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    posix_spawnattr_destroy(&attributes);
    if (failure != 0) {
        throw std::runtime_error("cannot start " + program);
    }
    return pid;
}

int to_status(int raw)
{
    return WIFEXITED(raw) ? WEXITSTATUS(raw) : 128 + WTERMSIG(raw);
}

} // namespace

process::process(const std::string& program, const std::vector<std::string>& arguments,
                 const std::string& log_file)
    : m_pid(spawn(program, arguments, log_file)), m_log_file(log_file)
{}

process::~process()
{
    if (!is_running()) {
        return;
    }
    send_signal(SIGKILL);
    waitpid(m_pid, nullptr, 0);
}

void process::send_signal(int signal) const
{
    if (!m_exit.has_value()) {
        kill(m_pid, signal);
    }
}

std::optional<int> process::poll_exit()
{
    int raw = 0;
    if (!m_exit.has_value() && waitpid(m_pid, &raw, WNOHANG) == m_pid) {
        m_exit = to_status(raw);
    }
    return m_exit;
}

std::optional<int> process::wait_exit(base::time_point deadline)
{
    while (!poll_exit().has_value() && base::boot_clock::now() < deadline) {
        std::this_thread::sleep_for(poll_interval);
    }
    return m_exit;
}

bool process::is_running()
{
    return !poll_exit().has_value();
}

pid_t process::pid() const
{
    return m_pid;
}

const std::string& process::log_file() const
{
    return m_log_file;
}

command_result run_command(const std::string& program, const std::vector<std::string>& arguments,
                           std::chrono::milliseconds timeout)
{
    std::string log_file = "/tmp/snipeshore-command-XXXXXX";
    const int file = mkstemp(log_file.data());
    close(file);
    command_result result;
    {
        process child(program, arguments, log_file);
        result.status = child.wait_exit(base::boot_clock::now() + timeout).value_or(-1);
    }
    std::ifstream output(log_file);
    result.output.assign(std::istreambuf_iterator<char>(output), {});
    unlink(log_file.c_str());
    return result;
}

std::size_t resident_bytes(pid_t pid)
{
    std::ifstream statm("/proc/" + std::to_string(pid) + "/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    statm >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

std::chrono::microseconds cpu_time(pid_t pid)
{
    std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
    std::string line;
    std::getline(stat, line);
    const std::size_t name_end = line.rfind(')');
    if (name_end == std::string::npos) {
        return std::chrono::microseconds(0);
    }
    std::istringstream rest(line.substr(name_end + 2));
    std::string skipped;
    // Fields 3 to 13 of /proc/PID/stat precede the user and system time.
    constexpr int fields_before_times = 11;
    for (int index = 0; index < fields_before_times; ++index) {
        rest >> skipped;
    }
    std::int64_t user = 0;
    std::int64_t system = 0;
    rest >> user >> system;
    return std::chrono::microseconds((user + system) * 1'000'000 / sysconf(_SC_CLK_TCK));
}

} // namespace snipeshore::test
